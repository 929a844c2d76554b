import type { AdapterName, BaseModel, HostId } from "@fulmarcleat/ids";

/** Where an adapter stands on an engine. */
export type ResidentPhase =
    | { readonly kind: "present" }
    | { readonly kind: "loading"; readonly readyAtMs: number }
    /** Ordered to unload while requests still ran on it. */
    | { readonly kind: "leaving" };

/** An adapter that takes one of an engine's places. */
export interface Resident {
    readonly version: number | undefined;
    readonly phase: ResidentPhase;
    /** Requests lately; halves over time. */
    readonly demand: number;
    readonly demandAtMs: number;
    readonly sinceMs: number;
}

/** An adapter that a request waits for. */
export interface Want {
    readonly version: number | undefined;
    /** Until when the request that waits can still be on time, in milliseconds. */
    readonly dueMs: number;
    readonly sinceMs: number;
    readonly untilMs: number;
}

/** Requests that a host has under way on an engine. */
export interface HostUse {
    readonly atMs: number;
    readonly inFlight: ReadonlyMap<AdapterName, number>;
    readonly total: number;
    /** Prompt tokens of its requests without a first byte so far. */
    readonly queuedTokens: number;
}

/** What an engine's owner knows of it. */
export interface ResidencyState {
    readonly model: BaseModel;
    readonly slots: number;
    /** Orders that the engine has accepted; undefined until a report has told. */
    readonly seq: number | undefined;
    readonly modelPhase: "unknown" | "present" | "loading" | "absent";
    /** When a report may be read next, in milliseconds; reports lag behind orders. */
    readonly reportFromMs: number;
    readonly residents: ReadonlyMap<AdapterName, Resident>;
    readonly wants: ReadonlyMap<AdapterName, Want>;
    readonly uses: ReadonlyMap<HostId, HostUse>;
    /** Usual time of an adapter's load, in milliseconds. */
    readonly loadMs: number;
}

/**
 * Creates the knowledge of an owner that has just taken an engine.
 *
 * @param model - The base model that the engine should hold
 * @param slots - Places for adapters
 * @returns the state
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
        wants: new Map(),
        uses: new Map(),
        loadMs: DEFAULT_LOAD_MS,
    };
}

/** Time of an adapter's load before one was measured, in milliseconds; the deployments state 250. */
const DEFAULT_LOAD_MS = 255;
