import type { AdapterName, BaseModel, HostId } from "@fulmarcleat/ids";
import { NO_PROMPTS } from "./reducePromptRate.js";
import type { PromptRate } from "./reducePromptRate.js";

/** Phase of an adapter on an engine. */
export type ResidentPhase =
    | { readonly kind: "present" }
    | { readonly kind: "loading"; readonly readyAtMs: number }
    /** An unload was ordered while requests were still running on the adapter. */
    | { readonly kind: "leaving" };

/** An adapter that occupies one of an engine's adapter slots. */
export interface Resident {
    readonly version: number | undefined;
    readonly phase: ResidentPhase;
    /** Number of recent requests at `demandAtMs`; decays over time. */
    readonly demand: number;
    readonly demandAtMs: number;
    /** When the adapter became present or is expected to be, in milliseconds. */
    readonly sinceMs: number;
    /** The load order that the engine accepted last; undefined if this owner has ordered none. */
    readonly load?: AcceptedLoad | undefined;
}

/** A load order that an engine has accepted. */
export interface AcceptedLoad {
    readonly orderedAtMs: number;
    /**
     * Where the adapter comes from: a copy that the engine was expected to have loads faster than from the weight store,
     * and a replacement of another version waits for the requests that use that one.
     */
    readonly source: "copy" | "replacement" | "store";
}

/** A pending load request: requests wait for the adapter. */
export interface LoadRequest {
    readonly version: number | undefined;
    /** Time until which the waiting request can still be on time, in milliseconds. */
    readonly dueMs: number;
    readonly sinceMs: number;
    /** When the load request expires, in milliseconds. */
    readonly untilMs: number;
}

/** Requests of one host in flight on an engine. */
export interface HostUsage {
    readonly atMs: number;
    readonly inFlight: ReadonlyMap<AdapterName, number>;
    readonly total: number;
    /** Prompt tokens of the requests that have not received a first byte. */
    readonly queuedTokens: number;
    /** Tokens that the requests hold at most in the engine's memory; undefined if the host doesn't report them. */
    readonly heldTokens?: number | undefined;
    /** Prompt tokens of the requests that started since the last report; undefined if the host doesn't report them. */
    readonly startedTokens?: number | undefined;
}

/** State of an engine that its owner maintains. */
export interface ResidencyState {
    readonly model: BaseModel;
    readonly slots: number;
    /** Number of orders that the engine has accepted; undefined until a report states it. */
    readonly seq: number | undefined;
    readonly modelPhase: "unknown" | "present" | "loading" | "absent";
    /** Earliest time for the next report, in milliseconds; reports lag behind orders. */
    readonly reportFromMs: number;
    readonly residents: ReadonlyMap<AdapterName, Resident>;
    readonly loadRequests: ReadonlyMap<AdapterName, LoadRequest>;
    readonly usageByHost: ReadonlyMap<HostId, HostUsage>;
    /** Expected duration of an adapter load, in milliseconds; grows when requests come too early. */
    readonly loadMs: number;
    /** Adapters that this owner has unloaded, with their versions, the last one at the end; they load faster. */
    readonly unloaded: ReadonlyMap<AdapterName, number | undefined>;
    /** Prompts that hosts have sent to the engine of late; none while its speed is not learned. */
    readonly promptRate: PromptRate;
    /** Whether the engine has not answered the last order, so that no other one can be sent. */
    readonly isOrderUnanswered: boolean;
}

/**
 * Creates the initial state for a host that has just become an engine's owner.
 *
 * @param model - Base model that the engine should hold
 * @param slots - Number of adapter slots of the engine
 * @returns a state without a report, adapters or load requests
 *
 * @example
 * const state = createResidencyState(model, 8);
 */
export function createResidencyState(model: BaseModel, slots: number): ResidencyState {
    return {
        model,
        slots,
        seq: undefined,
        modelPhase: "unknown",
        reportFromMs: 0,
        residents: new Map(),
        loadRequests: new Map(),
        usageByHost: new Map(),
        loadMs: DEFAULT_LOAD_MS,
        unloaded: new Map(),
        promptRate: NO_PROMPTS,
        isOrderUnanswered: false,
    };
}

/** Assumed duration of an adapter load before the first one, in milliseconds; platforms state 250 to 288. */
export const DEFAULT_LOAD_MS = 255;
