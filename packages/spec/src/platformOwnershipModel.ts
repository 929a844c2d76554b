/** Name of a host that may own the engine. */
export type PlatformHost = "a" | "b";

/** Name of a defect in engine orders on the platform that the exploration must find. */
export type PlatformOwnershipDefect =
    /** Orders omit the number of orders that the engine must have accepted before. */
    | "orders without their count"
    /** An unanswered order counts as accepted. */
    | "unanswered orders count"
    /** A new owner sends orders based on its last known state of the engine. */
    | "no report after a claim"
    /** Fencing tokens don't tell revisions of a copy of the store from those that were given out before. */
    | "revisions without their epoch";

/** Bounds of an exploration. */
export interface PlatformOwnershipBounds {
    /** Number of adapters that the engine can hold. */
    readonly adapterSlots: number;
    /** Adapters that may be requested. */
    readonly adapters: readonly string[];
    /** Maximum number of delayed orders at any time. */
    readonly delayedOrders: number;
    /** Maximum number of expired leases of an owner. */
    readonly lapses: number;
    /** Maximum number of engine restarts. */
    readonly restarts: number;
    /** Maximum number of returns of the store from a copy. */
    readonly restores: number;
    /** Maximum number of runs on the engine. */
    readonly runs: number;
    /** Maximum number of orders in one trace. */
    readonly orders: number;
    /** Whether the engine checks fencing tokens. */
    readonly checksFences: boolean;
    readonly defect?: PlatformOwnershipDefect | undefined;
}

/** A loaded adapter, on the engine or in a host's view of it. */
export interface LoadedAdapterModel {
    readonly adapter: string;
    readonly isUnloading: boolean;
}

/** A host's view of the engine. */
export interface HostModel {
    /** Fencing token of the host's claim; 0 without a claim. */
    readonly fence: number;
    /** Number of orders that the engine has accepted; -1 before the first report. */
    readonly seq: number;
    readonly loaded: readonly LoadedAdapterModel[];
}

/** An order for the engine. */
export interface OrderModel {
    readonly from: PlatformHost;
    readonly kind: "load_adapter" | "unload_adapter";
    readonly adapter: string;
    readonly fence: number;
    /** Number of orders that the engine must have accepted before; -1 for any. */
    readonly expectedSeq: number;
    readonly incarnation: number;
}

/** State of the platform model: two hosts, the store, one engine and delayed orders. */
export interface PlatformOwnershipModel {
    readonly hosts: Readonly<Record<PlatformHost, HostModel>>;
    readonly store: {
        readonly owner: PlatformHost | "nobody";
        readonly revision: number;
        /** Number of returns from a copy so far. */
        readonly epoch: number;
        /** Whether the owner's claim is from a copy, so that nobody orders by it. */
        readonly isRestored: boolean;
        /** The copy from which the store may return; undefined if there is none. */
        readonly copy: { readonly owner: PlatformHost | "nobody"; readonly revision: number } | undefined;
    };
    readonly engine: {
        readonly incarnation: number;
        readonly seq: number;
        readonly highestFence: number;
        readonly loaded: readonly LoadedAdapterModel[];
        /** Adapters with running requests. */
        readonly inUse: readonly string[];
    };
    readonly delayedOrders: readonly OrderModel[];
    /** Number of expired leases so far. */
    readonly lapses: number;
    /** Number of engine restarts so far. */
    readonly restarts: number;
    /** Number of runs so far. */
    readonly runs: number;
    /** Number of orders so far. */
    readonly orders: number;
    /** Description of a load beyond the adapter slots, or an empty string. */
    readonly violation: string;
}

/** An event of the platform model. */
export type PlatformOwnershipEvent =
    /** A host plans its next step, with `wanted` as the adapter of its pending load request. */
    | {
        readonly type: "act";
        readonly host: PlatformHost;
        readonly wanted: string;
        readonly reply: "arrives" | "lost" | "late";
    }
    | { readonly type: "claim"; readonly host: PlatformHost }
    /** A delayed order reaches the engine. */
    | { readonly type: "deliver"; readonly at: number }
    /** A request on the adapter starts or ends. */
    | { readonly type: "run" | "end"; readonly adapter: string }
    /** The owner's lease expires, the engine restarts, or the store is copied or returns from its copy. */
    | { readonly type: "lapse" | "restart" | "copy" | "restore" };
