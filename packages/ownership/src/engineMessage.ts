import type { EngineReport, OrderResult } from "@fulmarcleat/drivers";
import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    HostId,
    Incarnation,
    InstanceName,
    PlaceId,
} from "@fulmarcleat/ids";
import type { PolicyDecisions } from "@fulmarcleat/placement";
import type { PlaceUse } from "@fulmarcleat/wire";
import type { EngineLimits, FormerOwner, Waiting } from "./engineState.js";

/** Everything that an engine's owner reacts to. */
export type EngineMessage =
    | {
        readonly kind: "acquired";
        readonly fence: number;
        readonly former: FormerOwner;
        readonly formerHost?: HostId | undefined;
        readonly hosts: readonly HostId[];
        readonly leaseMs: number;
    }
    | { readonly kind: "lost" }
    | { readonly kind: "release" }
    | { readonly kind: "ask"; readonly waiting: Waiting }
    | { readonly kind: "abandon"; readonly place: PlaceId }
    | { readonly kind: "placeEnd"; readonly place: PlaceId; readonly use: PlaceUse; readonly runs?: number }
    /** `result` is undefined where no answer came. */
    | { readonly kind: "loadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "unloadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "report"; readonly report: EngineReport; readonly askedMs: number }
    /** Answer to an order that only shows the engine this owner's fence. */
    | { readonly kind: "fenceAnswered"; readonly sentMs: number; readonly result: OrderResult | undefined }
    /** A host's own word on what it holds as of `askedMs`; what it does not name is free. */
    | {
        readonly kind: "held";
        readonly host: HostId;
        readonly incarnation: Incarnation;
        /** Fence of the owner that asked. */
        readonly fence: number;
        /** Places that the host has asked for without an answer so far. */
        readonly pending: readonly PlaceId[];
        readonly askedMs: number;
        readonly places: readonly { readonly place: PlaceId; readonly instance: InstanceName }[];
    }
    | { readonly kind: "hostGone"; readonly host: HostId; readonly incarnation: Incarnation }
    | { readonly kind: "formerGone" }
    | { readonly kind: "limits"; readonly limits: EngineLimits }
    | { readonly kind: "tick" };

/** When a message is handled and how many loads may start. */
export interface EngineContext {
    readonly nowMs: number;
    /** Loads that the weight store's budget lets start now. */
    readonly loadsAllowed: number;
    /** Loads that this host may start a second; unlimited where undefined. */
    readonly loadsPerSecond?: number;
    /** Set where the host can't be sure that it still owns the engine; nothing is granted or ordered. */
    readonly isSuspended?: boolean;
    /** The policy's decisions; the system's own where undefined. */
    readonly decisions?: PolicyDecisions;
    /** A caller's weight; 1 where undefined. */
    readonly readWeight?: (caller: CallerName) => number;
    /** Requests a second for an adapter's version, also where it is not loaded. */
    readonly readRate?: (adapter: AdapterName, version: AdapterVersion) => number;
}
