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
import type { EngineLimits, Waiting } from "./engineState.js";

/** How an earlier owner left an engine. */
export type FormerOwner = "none" | "released" | "gone" | "lapsed";

/** Everything that an engine's owner reacts to. */
export type EngineMessage =
    | {
        readonly kind: "acquired";
        readonly fence: number;
        readonly former: FormerOwner;
        readonly hosts: readonly HostId[];
        readonly leaseMs: number;
    }
    | { readonly kind: "lost" }
    | { readonly kind: "release" }
    | { readonly kind: "ask"; readonly waiting: Waiting }
    | { readonly kind: "abandon"; readonly place: PlaceId }
    | { readonly kind: "placeEnd"; readonly place: PlaceId; readonly use: PlaceUse }
    /** `result` is undefined where no answer came. */
    | { readonly kind: "loadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "unloadAnswered"; readonly instance: InstanceName; readonly result: OrderResult | undefined }
    | { readonly kind: "report"; readonly report: EngineReport; readonly askedMs: number }
    /** A host's own word on what it holds as of `askedMs`; what it does not name is free. */
    | {
        readonly kind: "held";
        readonly host: HostId;
        readonly incarnation: Incarnation;
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
    /** The policy's decisions; the system's own where undefined. */
    readonly decisions?: PolicyDecisions;
    /** A caller's weight; 1 where undefined. */
    readonly readWeight?: (caller: CallerName) => number;
    /** Requests a second for an adapter's version, also where it is not loaded. */
    readonly readRate?: (adapter: AdapterName, version: AdapterVersion) => number;
}
