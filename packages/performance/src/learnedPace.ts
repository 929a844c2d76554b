/** What the samples of one engine say; a quantity is undefined if there are none of it. */
export interface LearnedPace {
    /** Time to process one prompt token, in milliseconds. */
    readonly tokenMs: number | undefined;
    /** Time between two events of a stream, in milliseconds. */
    readonly eventMs: number | undefined;
    /** Time to the first byte for a prompt without tokens, in milliseconds. */
    readonly idleMs: number | undefined;
    /** Duration of a plain service's request, in milliseconds. */
    readonly workMs: number | undefined;
    /** Number of samples on which first bytes rest; decays while none arrive. */
    readonly reads: number;
    /** The same for events. */
    readonly events: number;
    /** The same for requests of a plain service. */
    readonly works: number;
}

/** The learned quantities. */
export type PaceQuantity = "tokenMs" | "eventMs" | "idleMs" | "workMs";
