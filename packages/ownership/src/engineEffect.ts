import type { ErrorCode } from "@fulmarcleat/errors";
import type { AdapterName, AdapterVersion, HostId, InstanceName, RequestId } from "@fulmarcleat/ids";
import type { EngineState, Waiting } from "./engineState.js";

/** What an owner does in reaction to a message. */
export type EngineEffect =
    | {
        readonly kind: "grant";
        readonly waiting: Waiting;
        readonly instance: InstanceName;
        readonly fence: number;
        readonly waitedMs: number;
        readonly loadStallMs: number;
        readonly ratePerSecond: number;
    }
    | {
        readonly kind: "refuse";
        readonly waiting: Waiting;
        readonly code: ErrorCode;
        readonly message: string;
        readonly retryAfterMs: number | undefined;
    }
    | {
        readonly kind: "load";
        readonly instance: InstanceName;
        readonly adapter: AdapterName;
        readonly version: AdapterVersion;
        readonly weights: string;
        readonly fence: number;
    }
    | { readonly kind: "unload"; readonly instance: InstanceName; readonly fence: number }
    /** Shows the engine this owner's fence by unloading a name that no load has. */
    | { readonly kind: "showFence"; readonly instance: InstanceName; readonly fence: number }
    /** Every order has its answer and none follows: the ownership record may be given up. */
    | { readonly kind: "released"; readonly fence: number; readonly holders: readonly HostId[] }
    | {
        readonly kind: "decision";
        readonly step: string;
        readonly detail: string;
        readonly adapter: AdapterName | undefined;
        readonly requestId: RequestId | undefined;
    };

/** A state and what to do. */
export interface EngineStep {
    readonly state: EngineState;
    readonly effects: readonly EngineEffect[];
}
