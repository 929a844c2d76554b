import type { EngineId } from "@fulmarcleat/ids";

/** Asks a host that owned an engine whether it may still order it. */
export interface OrderRightRequest {
    readonly engine: EngineId;
    /** Fencing token of a newer claim, under which the host must stop; undefined if there is none yet. */
    readonly fence: number | undefined;
}

/** What the owner replies; once it has replied `stopped`, it orders the engine no more under its claim. */
export type OrderRightReply =
    | { readonly kind: "holding" }
    | {
        readonly kind: "stopped";
        /** Time since the last order of any process of the host ended, in milliseconds. */
        readonly lastOrderAgoMs: number;
    };
