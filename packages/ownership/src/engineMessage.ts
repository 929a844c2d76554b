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
import type { PlaceOutcome } from "@fulmarcleat/wire";
import type { EngineLimits, FormerOwnerState, WaitingRequest } from "./engineState.js";

/** Message that an engine's owner handles. */
export type EngineMessage =
    | {
        readonly kind: "acquired";
        readonly fence: number;
        readonly former: FormerOwnerState;
        readonly formerHost?: HostId | undefined;
        readonly hosts: readonly HostId[];
        readonly leaseMs: number;
    }
    | { readonly kind: "lost" }
    | { readonly kind: "release" }
    | { readonly kind: "ask"; readonly waiting: WaitingRequest }
    | { readonly kind: "abandon"; readonly place: PlaceId }
    | { readonly kind: "placeEnd"; readonly place: PlaceId; readonly use: PlaceOutcome; readonly runs?: number }
    /** `result` is undefined if no answer arrived; the order may still take effect. */
    | { readonly kind: "loadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "unloadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "report"; readonly report: EngineReport; readonly askedMs: number }
    /** Answer to the order that makes this owner's fence known to the engine. */
    | { readonly kind: "fenceAnswered"; readonly sentMs: number; readonly result: OrderResult | undefined }
    /** A host's report of the places that it held at `askedMs`; places that it does not list are free. */
    | {
        readonly kind: "held";
        readonly host: HostId;
        readonly incarnation: Incarnation;
        /** Fence of the owner that requested the report. */
        readonly fence: number;
        /** Places that the host has requested and that are not answered yet. */
        readonly pending: readonly PlaceId[];
        readonly askedMs: number;
        readonly places: readonly { readonly place: PlaceId; readonly instance: InstanceName }[];
    }
    | { readonly kind: "hostGone"; readonly host: HostId; readonly incarnation: Incarnation }
    | { readonly kind: "formerGone" }
    | { readonly kind: "limits"; readonly limits: EngineLimits }
    | { readonly kind: "tick" };

/** Time, budgets and policy under which a message is handled. */
export interface EngineContext {
    readonly nowMs: number;
    /** Number of loads that the weight store's budget allows to start now. */
    readonly loadsAllowed: number;
    /** Loads that this host may start per second; unlimited if undefined. */
    readonly loadsPerSecond?: number;
    /** Set while the host may no longer own the engine; no places are granted and no orders are sent. */
    readonly isSuspended?: boolean;
    /** The policy's decisions; the built-in decisions if undefined. */
    readonly decisions?: PolicyDecisions;
    /** A caller's weight in the sharing of places; 1 if undefined. */
    readonly readWeight?: (caller: CallerName) => number;
    /** Requests per second for an adapter version, whether or not it is loaded. */
    readonly readRate?: (adapter: AdapterName, version: AdapterVersion) => number;
}
