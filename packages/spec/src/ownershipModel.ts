import type { HostId, InstanceName, PlaceId } from "@fulmarcleat/ids";
import type { EngineState } from "@fulmarcleat/ownership";

/** Name of a host that may own the engine. */
export type OwnerName = "a" | "b";

/** Name of a defect in ownership that the exploration must find. */
export type OwnershipDefect =
    /** An owner ignores the places that it has granted when it evicts, and uses only the engine's report. */
    | "evict on the report alone"
    /** The engine's names of loaded instances omit the owner's fencing token. */
    | "names without the fence"
    /** A new owner treats an engine whose former owner's session expired as released. */
    | "adopt from a lapsed owner"
    /** An owner frees every place when time passes, although the holder has not reported its end. */
    | "free a silent holder's places"
    /** The gateway uses a grant whose fencing token is lower than the highest that it has received. */
    | "accept a grant of a lower fence"
    /** An owner ignores the place requests in flight that a gateway reports with its places. */
    | "forget the asks under way"
    /** An owner marks its engine as released while orders are unanswered. */
    | "release before every answer"
    /** An owner treats an unanswered unload order as refused, and grants places on the instance again. */
    | "reuse after an unanswered unload"
    /** A new owner evicts before the hosts have reported the places that they hold. */
    | "evict before the holders answered"
    /** The places that one incarnation of a gateway reports replace those of every other incarnation. */
    | "free another incarnation's places";

/** A fault that the bounds of an exploration may allow. */
export type OwnershipFault =
    /** Host `a` stops running until it wakes; its session expires. */
    | "pause"
    /** Host `a` loses its session but keeps running. */
    | "cutOff"
    /** Host `a` fails permanently; its session expires. */
    | "crash"
    /** The engine restarts and loses its loaded instances and runs. */
    | "restart"
    /** The gateway restarts and loses its places and the grants in flight. */
    | "gatewayRestart"
    /** The key-value service becomes unavailable until `kvUp`. */
    | "kvDown"
    /** From now on, orders may arrive late, in any order or without a reply. */
    | "slowOrders"
    /** From now on, grants may arrive late, in any order or not at all. */
    | "slowGrants"
    /** The engine's current state remains available as a stale report. */
    | "noteReport"
    /** The message that ends a place is lost. */
    | "endLost";

/** Bounds of an exploration. */
export interface OwnershipBounds {
    /** Whether the engine checks fencing tokens. */
    readonly fencing: "checked" | "ignored";
    /** Adapters that requests to each owner may name. */
    readonly adapters: Readonly<Record<OwnerName, readonly string[]>>;
    /** Number of adapters that the engine can hold. */
    readonly adapterSlots: number;
    /** Maximum number of place requests in one trace. */
    readonly requests: number;
    /** Faults that may happen. */
    readonly faultKinds: readonly OwnershipFault[];
    /** Maximum number of faults in one trace. */
    readonly faults: number;
    /** Maximum number of time steps in one trace; each is longer than a lease and the lag of a report. */
    readonly waits: number;
    readonly defect?: OwnershipDefect | undefined;
}

/** A host that may own the engine. */
export interface ModelOwner {
    /** State of the production reducer. */
    readonly engine: EngineState;
    /** `gone` stands for a crashed host. */
    readonly mode: "up" | "paused" | "gone";
    /** Whether the host must not act until it has renewed its session after a pause. */
    readonly isSuspended: boolean;
}

/** An order that was sent to the engine and has not been carried out. */
export interface ModelOrder {
    readonly from: OwnerName;
    readonly kind: "load" | "unload" | "showFence";
    readonly instance: InstanceName;
    readonly fence: number;
    readonly sentMs: number;
    /** Whether the owner no longer waits for the answer. */
    readonly isAbandoned: boolean;
}

/** A grant of a place that was sent to the gateway and has not arrived. */
export interface ModelGrant {
    readonly from: OwnerName;
    readonly place: PlaceId;
    readonly instance: InstanceName;
    readonly fence: number;
    readonly adapter: string;
}

/** A place that the gateway holds: a slot in the engine's batch. */
export interface ModelPlace extends ModelGrant {
    readonly isRunning: boolean;
}

/** State of the engine process. */
export interface ModelEngine {
    readonly incarnation: number;
    readonly highestFence: number;
    /** Names of the loaded instances. */
    readonly loaded: readonly string[];
    readonly runs: readonly { readonly place: PlaceId; readonly instance: string }[];
}

/** The owner record and the sessions in the key-value service. */
export interface ModelKv {
    readonly isDown: boolean;
    readonly owner: OwnerName;
    readonly fence: number;
    readonly isReleased: boolean;
    readonly holders: readonly HostId[];
    readonly liveSessions: readonly OwnerName[];
}

/** State of the ownership model: two owners, a gateway, an engine, the key-value service and messages in flight. */
export interface OwnershipModel {
    readonly nowMs: number;
    readonly owners: Readonly<Record<OwnerName, ModelOwner>>;
    readonly kv: ModelKv;
    readonly engine: ModelEngine;
    readonly orders: readonly ModelOrder[];
    readonly grants: readonly ModelGrant[];
    readonly gateway: {
        readonly incarnation: number;
        readonly fence: number;
        readonly pending: readonly PlaceId[];
        readonly places: readonly ModelPlace[];
    };
    /** Number of place requests so far. */
    readonly requestCount: number;
    /** Number of faults so far. */
    readonly faults: number;
    /** Number of time steps so far. */
    readonly waits: number;
    /** Messages that no longer arrive at once, but late, in any order or without a reply. */
    readonly delayed: { readonly orders: boolean; readonly grants: boolean };
    /** Earlier state of the engine, which a report may still show. */
    readonly staleReport: ModelEngine | undefined;
    /** Description of an eviction in use or a run with the wrong adapter, if one has happened. */
    readonly violation: string | undefined;
}

/** An event of the ownership model. */
export type OwnershipEvent =
    | { readonly type: "ask"; readonly owner: OwnerName; readonly adapter: string }
    | { readonly type: "order"; readonly at: number; readonly reply: "arrives" | "lost" | "late" }
    | { readonly type: "grant"; readonly at: number; readonly isLost: boolean }
    | { readonly type: "start"; readonly place: PlaceId }
    /** The engine ends a run whose output no gateway reads any more. */
    | { readonly type: "drop"; readonly place: PlaceId }
    | { readonly type: "finish"; readonly place: PlaceId; readonly isEndLost: boolean }
    /** Faults and session events of host `a`; `claim` is an attempt of host `b` to claim the engine. */
    | { readonly type: "pause" | "cutOff" | "crash" | "wake" | "renew" | "release" | "claim" }
    /** The gateway or the former owner reports the places that it holds. */
    | { readonly type: "held"; readonly from: "gateway" | OwnerName; readonly owner: OwnerName }
    /** An owner reads the engine's report; `isOld` selects the stale report. */
    | { readonly type: "report"; readonly owner: OwnerName; readonly isOld: boolean }
    | {
        readonly type:
            | "noteReport"
            | "slowOrders"
            | "slowGrants"
            | "restart"
            | "gatewayRestart"
            | "kvDown"
            | "kvUp"
            | "wait";
    };
