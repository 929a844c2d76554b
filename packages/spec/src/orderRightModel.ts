/** Name of a host that may own the engine. */
export type RightHost = "a" | "b" | "c";

/** Name of a defect in the hand-over between owners that the exploration must find. */
export type OrderRightDefect =
    /** An owner orders for as long as the store doesn't tell it that its claim has ended. */
    | "a right without an end"
    /** An owner reads only the clock that stands still while its host is suspended. */
    | "a right by the monotonic clock alone"
    /** A new owner waits for the order lease alone when it can't ask the one before it. */
    | "no wait for a silent owner"
    /** An owner goes on after it has told another host that it has stopped. */
    | "stopped owners go on"
    /** A new owner asks only the last owner, also if that one has itself waited for another. */
    | "the owner before the last is forgotten"
    /** A new owner forgets that the one before it had not yet waited long enough. */
    | "the last owner's wait is forgotten";

/** Bounds of an exploration. */
export interface OrderRightBounds {
    readonly hosts: readonly RightHost[];
    /** Maximum number of claims. */
    readonly claims: number;
    /** Maximum number of cuts of one host from the store, from the other hosts or from both, at any time. */
    readonly cuts: number;
    /** Maximum number of suspended hosts at any time. */
    readonly suspended: number;
    /** Rate of each host's clocks; 1 is true time. */
    readonly clockRates: Readonly<Record<RightHost, number>>;
    readonly defect?: OrderRightDefect | undefined;
}

/** A host and what it knows of its own claim. */
export interface RightHostModel {
    /** Fencing token of the host's claim as the host knows it; 0 without a claim. */
    readonly fence: number;
    /** Time since the host sent the call that last showed its claim, by its monotonic clock, in milliseconds. */
    readonly confirmedAgoMs: number;
    /** The same by its wall clock. */
    readonly confirmedWallAgoMs: number;
    /** What is left of its wait before the first order, by its own clock, in milliseconds. */
    readonly waitMs: number;
    /** Hosts whose end of right the host waits for. */
    readonly formerHosts: readonly RightHost[];
    readonly isStoreCut: boolean;
    readonly isPeerCut: boolean;
    readonly isSuspended: boolean;
}

/** State of the model: hosts with clocks of their own, the store's claim and the engine's last order. */
export interface OrderRightModel {
    readonly hosts: Readonly<Record<RightHost, RightHostModel>>;
    readonly store: {
        readonly owner: RightHost | "nobody";
        readonly revision: number;
        /** The host whose claim ended last, and those that it waited for. */
        readonly lapsed: readonly RightHost[];
        /** Whether that host was still waiting itself. */
        readonly wasWaiting: boolean;
    };
    readonly engine: {
        readonly host: RightHost | "nobody";
        readonly fence: number;
        /** Time since the last order in true time, in milliseconds, up to the order lease. */
        readonly agoMs: number;
    };
    readonly claims: number;
    /** Description of an order that came too early, or an empty string. */
    readonly violation: string;
}

/** An event of the model. */
export type OrderRightEvent =
    | { readonly type: "tick" }
    /** The claim ends in the store: with its lease, or because the store has removed its keys. */
    | { readonly type: "lapse" }
    /** The host's view is confirmed by the store, it orders, it claims, or it asks again those it waits for. */
    | { readonly type: "confirm" | "order" | "claim" | "ask"; readonly host: RightHost }
    | { readonly type: "cut_store" | "cut_peers" | "suspend" | "heal"; readonly host: RightHost };
