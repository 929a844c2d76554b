import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";
import type { HeldAdapter, HeldModel, NetAddress } from "./engineEntry.js";

/** The engine that a call is meant for. */
export interface EngineTarget {
    readonly id: EngineId;
    readonly address: NetAddress;
}

/** What an engine is ordered to do. */
export type EngineOrder =
    | { readonly kind: "load_model"; readonly model: BaseModel }
    | {
        readonly kind: "load_adapter";
        readonly model: BaseModel;
        readonly adapter: AdapterName;
        /** Undefined for the newest. */
        readonly version: number | undefined;
    }
    | { readonly kind: "unload_adapter"; readonly model: BaseModel; readonly adapter: AdapterName };

/** Who gives an order, and on which state of the engine it rests. */
export interface OrderTerms {
    readonly holder: HostId;
    readonly fence: number;
    /** Orders that the engine must have accepted so far. */
    readonly expectedSeq: number;
}

/** An engine's answer to an order. */
export type OrderReply =
    | { readonly kind: "accepted" }
    | { readonly kind: "holds_already" }
    /** Another order is under way, or the engine has accepted other orders since. */
    | { readonly kind: "conflict" }
    /** The engine has seen a higher fence. */
    | { readonly kind: "fenced" }
    | { readonly kind: "misdirected" }
    /** Refused for another reason. */
    | { readonly kind: "rejected"; readonly status: number }
    /** No answer; the engine may carry it out later. */
    | { readonly kind: "unknown" };

/** An engine's own report; some hundred milliseconds old. */
export interface EngineReport {
    readonly models: readonly HeldModel[];
    readonly coming: readonly HeldAdapter[];
    readonly isBusy: boolean;
    /** Orders accepted since the engine's start. */
    readonly seq: number;
    readonly running: number;
    readonly waiting: number;
}

/** Calls that steer model engines. */
export interface EngineControl {
    order(target: EngineTarget, order: EngineOrder, terms: OrderTerms): Promise<OrderReply>;
    /** Throws ServeError `upstream_failed`. */
    report(target: EngineTarget): Promise<EngineReport>;
}
