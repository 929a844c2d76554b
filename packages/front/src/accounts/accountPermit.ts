/** What a refusal rests on, as log fields. */
export interface LimitBasis {
    readonly account: string;
    readonly cost: number;
    /** Cost granted in the window, as the granter last stated it; undefined if no granter has replied yet. */
    readonly used: number | undefined;
    /** The limit, in units per second. */
    readonly limit: number;
    readonly burst: number;
    /** Who decided: the account's `granter`, its `substitute`, or this host `alone`. */
    readonly decidedBy: "granter" | "substitute" | "alone";
}

/** Whether a request fits into its account's rate limit. */
export type AccountPermit =
    | { readonly kind: "unlimited" }
    | {
        readonly kind: "granted";
        /** Returns the cost; called at most once, if the request ended without having run. */
        readonly giveBack: () => void;
    }
    | {
        readonly kind: "refused";
        /** Time after which the client may return, in milliseconds. */
        readonly readyInMs: number;
        readonly basis: LimitBasis;
    };
