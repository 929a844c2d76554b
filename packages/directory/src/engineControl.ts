import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";
import type { HeldAdapter, HeldModel, NetAddress } from "./engineEntry.js";

/** Engine that a call is addressed to. */
export interface EngineTarget {
    readonly id: EngineId;
    readonly address: NetAddress;
}

/** Order that an owner sends to an engine. */
export type EngineOrder =
    | { readonly kind: "load_model"; readonly model: BaseModel }
    | {
        readonly kind: "load_adapter";
        readonly model: BaseModel;
        readonly adapter: AdapterName;
        /** Version to load; undefined for the newest. */
        readonly version: number | undefined;
    }
    | { readonly kind: "unload_adapter"; readonly model: BaseModel; readonly adapter: AdapterName };

/** Sender of an order and the engine state that the order assumes. */
export interface OrderTerms {
    readonly holder: HostId;
    readonly fence: number;
    /** Number of orders that the engine must have accepted so far. */
    readonly expectedSeq: number;
}

/** Reply of an engine to an order. */
export type OrderReply =
    | { readonly kind: "accepted" }
    | { readonly kind: "holds_already" }
    /** Another order is running, or the engine has accepted other orders since. */
    | { readonly kind: "conflict" }
    /** The engine has received a higher fencing token. */
    | { readonly kind: "fenced" }
    | { readonly kind: "misdirected" }
    /** The engine rejected the order for another reason. */
    | { readonly kind: "rejected"; readonly status: number }
    /** No reply arrived; the engine may execute the order later. */
    | { readonly kind: "unknown" };

/** An engine's report about itself; its data is some hundred milliseconds old. */
export interface EngineReport {
    readonly models: readonly HeldModel[];
    readonly coming: readonly HeldAdapter[];
    readonly isBusy: boolean;
    /** Number of orders accepted since the engine started. */
    readonly seq: number;
    readonly running: number;
    readonly waiting: number;
}

/** Whether an engine runs, as far as a call shows. */
export type EngineProbe =
    | "running"
    /** Nothing listens at its address, or another engine does. */
    | "gone"
    /** It did not answer in time, or broke off. */
    | "unclear";

/** Calls that control model engines. */
export interface EngineControl {
    order(target: EngineTarget, order: EngineOrder, terms: OrderTerms): Promise<OrderReply>;
    /** Reads the engine's report; throws ServeError `upstream_failed`. */
    report(target: EngineTarget): Promise<EngineReport>;
    /** Whether a connection to an engine of any service can be opened; sends nothing. */
    connects(target: EngineTarget): Promise<boolean>;
    /** Finds out whether an engine of any service runs; any answer shows that it does. */
    probe(target: EngineTarget): Promise<EngineProbe>;
}
