import type { HostId, InstanceName, PlaceId } from "@fulmarcleat/ids";
import type { EngineState } from "@fulmarcleat/ownership";

/** Hosts that may own the engine. */
export type OwnerName = "a" | "b";

/** A named defect of ownership. */
export type OwnershipDefect =
    | "evict on the report alone"
    | "names without the fence"
    | "adopt from a lapsed owner"
    | "free a silent holder's places"
    | "accept a grant of a lower fence"
    | "forget the asks under way"
    | "release before every answer"
    | "reuse after an unanswered unload"
    | "evict before the holders answered"
    | "free another incarnation's places";

/** A fault; a slow network also loses replies and delivers orders late. */
export type OwnershipFault =
    | "pause"
    | "cutOff"
    | "crash"
    | "restart"
    | "gatewayRestart"
    | "kvDown"
    | "slowOrders"
    | "slowGrants"
    | "noteReport"
    | "endLost";

/** What is explored. */
export interface OwnershipBounds {
    readonly fencing: "checked" | "ignored";
    /** Adapters that each owner is asked for. */
    readonly adapters: Readonly<Record<OwnerName, readonly string[]>>;
    readonly adapterPlaces: number;
    /** Most places asked for. */
    readonly asks: number;
    /** Faults that may happen. */
    readonly faultKinds: readonly OwnershipFault[];
    /** Most faults in one trace. */
    readonly faults: number;
    /** Most steps of time; each is longer than a lease and a report's lag. */
    readonly waits: number;
    readonly defect?: OwnershipDefect | undefined;
}

/** One owner, as the specification keeps it. */
export interface ModelOwner {
    readonly engine: EngineState;
    readonly mode: "up" | "paused" | "gone";
    readonly isSuspended: boolean;
}

/** An order on its way to the engine. */
export interface ModelOrder {
    readonly from: OwnerName;
    readonly kind: "load" | "unload" | "showFence";
    readonly instance: InstanceName;
    readonly fence: number;
    readonly sentMs: number;
    /** The owner no longer waits for the answer. */
    readonly isAbandoned: boolean;
}

/** A grant on its way to the gateway. */
export interface ModelGrant {
    readonly from: OwnerName;
    readonly place: PlaceId;
    readonly instance: InstanceName;
    readonly fence: number;
    readonly adapter: string;
}

/** A place that the gateway holds. */
export interface ModelPlace extends ModelGrant {
    readonly isRunning: boolean;
}

/** The engine itself. */
export interface ModelDevice {
    readonly incarnation: number;
    readonly highestFence: number;
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

/** Everything: two owners, one gateway, one engine, the key-value service and what is under way. */
export interface OwnershipModel {
    readonly nowMs: number;
    readonly owners: Readonly<Record<OwnerName, ModelOwner>>;
    readonly kv: ModelKv;
    readonly device: ModelDevice;
    readonly orders: readonly ModelOrder[];
    readonly grants: readonly ModelGrant[];
    readonly gateway: {
        readonly incarnation: number;
        readonly fence: number;
        readonly pending: readonly PlaceId[];
        readonly places: readonly ModelPlace[];
    };
    readonly asked: number;
    readonly faults: number;
    readonly waits: number;
    /** What no longer arrives at once, but in any order, late, or without a reply. */
    readonly slow: { readonly orders: boolean; readonly grants: boolean };
    /** A report that the engine shows late. */
    readonly oldReport: ModelDevice | undefined;
    /** What went wrong on the engine, if anything did. */
    readonly broken: string | undefined;
}

/** Everything that can happen. */
export type OwnershipEvent =
    | { readonly type: "ask"; readonly owner: OwnerName; readonly adapter: string }
    | { readonly type: "order"; readonly at: number; readonly reply: "arrives" | "lost" | "late" }
    | { readonly type: "grant"; readonly at: number; readonly isLost: boolean }
    | { readonly type: "start"; readonly place: PlaceId }
    /** The engine ends a run that nobody reads any more. */
    | { readonly type: "drop"; readonly place: PlaceId }
    | { readonly type: "finish"; readonly place: PlaceId; readonly isEndLost: boolean }
    | { readonly type: "pause" | "cutOff" | "crash" | "wake" | "renew" | "release" | "claim" }
    | { readonly type: "held"; readonly from: "gateway" | OwnerName; readonly owner: OwnerName }
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
