/** Hosts that may own the engine. */
export type PlatformHost = "a" | "b";

/** A named defect of orders on the platform. */
export type PlatformOwnershipDefect =
    /** Orders go without the count of orders that the engine must have accepted. */
    | "orders without their count"
    /** An order without an answer counts as accepted. */
    | "unanswered orders count"
    /** A new owner orders by what it last knew. */
    | "no report after a claim";

/** What is explored. */
export interface PlatformOwnershipBounds {
    readonly places: number;
    readonly adapters: readonly string[];
    /** Most orders that are carried out late. */
    readonly lateOrders: number;
    /** Most lapses of an owner's lease, restarts of the engine and runs. */
    readonly lapses: number;
    readonly restarts: number;
    readonly runs: number;
    /** Most orders in all. */
    readonly orders: number;
    readonly checksFences: boolean;
    readonly defect?: PlatformOwnershipDefect | undefined;
}

/** An adapter on the engine, or as an owner knows it. */
export interface HeldAdapterModel {
    readonly adapter: string;
    readonly isLeaving: boolean;
}

/** What a host believes. */
export interface HostModel {
    /** Fencing token of its claim; 0 where it holds none. */
    readonly fence: number;
    /** Count of orders; -1 until a report has told. */
    readonly seq: number;
    readonly held: readonly HeldAdapterModel[];
}

/** An order on its way. */
export interface OrderModel {
    readonly from: PlatformHost;
    readonly kind: "load_adapter" | "unload_adapter";
    readonly adapter: string;
    readonly fence: number;
    /** Count that the engine must have; -1 for any. */
    readonly expectedSeq: number;
    readonly incarnation: number;
}

/** Everything: two hosts, the store, one engine and late orders. */
export interface PlatformOwnershipModel {
    readonly hosts: Readonly<Record<PlatformHost, HostModel>>;
    readonly store: { readonly owner: PlatformHost | "nobody"; readonly revision: number };
    readonly engine: {
        readonly incarnation: number;
        readonly seq: number;
        readonly highestFence: number;
        readonly held: readonly HeldAdapterModel[];
        /** Adapters that requests run on. */
        readonly used: readonly string[];
    };
    readonly late: readonly OrderModel[];
    readonly lapses: number;
    readonly restarts: number;
    readonly runs: number;
    readonly orders: number;
    readonly broken: string;
}

/** Everything that can happen. */
export type PlatformOwnershipEvent =
    | {
        readonly type: "act";
        readonly host: PlatformHost;
        readonly wanted: string;
        readonly reply: "arrives" | "lost" | "late";
    }
    | { readonly type: "claim"; readonly host: PlatformHost }
    | { readonly type: "deliver"; readonly at: number }
    | { readonly type: "run" | "end"; readonly adapter: string }
    | { readonly type: "lapse" | "restart" };
