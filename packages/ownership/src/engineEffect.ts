import type { ErrorCode } from "@fulmarcleat/errors";
import type { AdapterName, AdapterVersion, HostId, InstanceName, RequestId } from "@fulmarcleat/ids";
import type { EngineState, WaitingRequest } from "./engineState.js";

/** Action that an owner takes in reaction to a message. */
export type EngineEffect =
    | {
        readonly kind: "grant";
        readonly waiting: WaitingRequest;
        readonly instance: InstanceName;
        readonly fence: number;
        readonly waitedMs: number;
        readonly loadStallMs: number;
        readonly ratePerSecond: number;
    }
    | {
        readonly kind: "refuse";
        readonly waiting: WaitingRequest;
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
    /** Makes this owner's fence known to the engine by unloading an instance name that is never loaded. */
    | { readonly kind: "showFence"; readonly instance: InstanceName; readonly fence: number }
    /** All orders are answered and no more follow, so the owner record may be released. */
    | { readonly kind: "released"; readonly fence: number; readonly holders: readonly HostId[] }
    | {
        readonly kind: "decision";
        readonly step: string;
        readonly detail: string;
        readonly adapter: AdapterName | undefined;
        readonly requestId: RequestId | undefined;
    };

/** The next state of an engine and the actions to take. */
export interface EngineStep {
    readonly state: EngineState;
    readonly effects: readonly EngineEffect[];
}
