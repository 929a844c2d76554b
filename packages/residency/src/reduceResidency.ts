import type { AdapterName, HostId } from "@fulmarcleat/ids";
import { decayDemand } from "./decayDemand.js";
import { isNewEnough } from "./isNewEnough.js";
import { reducePromptRate } from "./reducePromptRate.js";
import type { AcceptedLoad, HostUsage, LoadRequest, ResidencyState, Resident } from "./residencyState.js";

/** What hosts report to an engine's owner. */
export type OwnerMessage =
    | { readonly kind: "want"; readonly adapter: AdapterName; readonly want: LoadRequest }
    | { readonly kind: "use"; readonly host: HostId; readonly use: HostUsage; readonly started: readonly AdapterName[] }
    /** An engine rejected a request because it lacks the adapter or its version. */
    | { readonly kind: "missing"; readonly adapter: AdapterName; readonly atMs: number }
    | { readonly kind: "tick"; readonly atMs: number };

/** Time after the expected end of a load for which a missing adapter is tolerated, in milliseconds. */
const LATE_LOAD_MS = 1500;
/** Time until a load that is late is expected to be done, in milliseconds. */
const LATE_STEP_MS = 25;
/**
 * Time after the expected end of a load up to which a missing adapter shows that loads take longer, in milliseconds; later
 * the reason may be another one, such as an unload or a request that was held up.
 */
const MAX_LATENESS_MS = 100;
/** Most by which one late load raises the expected duration, in milliseconds. */
const MAX_LOAD_STEP_MS = 15;
/** Longest duration of a load that is learned, in milliseconds. */
const MAX_LOAD_MS = 350;

/**
 * Applies a host's report or a tick of the clock to an engine's state.
 *
 * @param state - State of the engine that its owner maintains
 * @param message - Report of a host, or a tick
 * @returns the updated state
 *
 * @example
 * const next = reduceResidency(state, { kind: "want", adapter, want });
 */
export function reduceResidency(state: ResidencyState, message: OwnerMessage): ResidencyState {
    switch (message.kind) {
        case "want": {
            const previous = state.loadRequests.get(message.adapter);
            const loadRequest = previous === undefined ? message.want : mergeLoadRequests(previous, message.want);
            return { ...state, loadRequests: new Map(state.loadRequests).set(message.adapter, loadRequest) };
        }
        case "use":
            return applyUsage(state, message);
        case "missing":
            return applyMissing(state, message.adapter, message.atMs);
        case "tick":
            return applyTick(state, message.atMs);
    }
}

function mergeLoadRequests(a: LoadRequest, b: LoadRequest): LoadRequest {
    return {
        version: a.version === undefined || b.version === undefined
            ? a.version ?? b.version
            : Math.max(a.version, b.version),
        dueMs: Math.min(a.dueMs, b.dueMs),
        sinceMs: Math.min(a.sinceMs, b.sinceMs),
        untilMs: Math.max(a.untilMs, b.untilMs),
    };
}

function applyUsage(state: ResidencyState, message: Extract<OwnerMessage, { kind: "use" }>): ResidencyState {
    const residents = new Map(state.residents);
    for (const adapter of message.started) {
        const resident = residents.get(adapter);
        if (resident !== undefined) {
            const demand = decayDemand(resident, message.use.atMs) + 1;
            residents.set(adapter, { ...resident, demand, demandAtMs: message.use.atMs });
        }
    }
    const promptRate = reducePromptRate(state.promptRate, message.use.startedTokens ?? 0, message.use.atMs);
    return { ...state, promptRate, residents, usageByHost: new Map(state.usageByHost).set(message.host, message.use) };
}

function applyMissing(state: ResidencyState, adapter: AdapterName, atMs: number): ResidencyState {
    const resident = state.residents.get(adapter);
    if (resident === undefined) {
        return state;
    }
    if (resident.phase.kind === "loading" && atMs < resident.phase.readyAtMs) {
        return state;
    }
    const { load } = resident;
    if (
        load !== undefined && resident.phase.kind !== "leaving" && atMs < load.orderedAtMs + state.loadMs + LATE_LOAD_MS
    ) {
        return extendLoad(state, adapter, resident, load, atMs);
    }
    if (resident.phase.kind === "loading" && atMs < resident.phase.readyAtMs + LATE_LOAD_MS) {
        return state;
    }
    return { ...state, seq: undefined };
}

/** Returns the expected duration of loads after one that had taken longer than so many milliseconds. */
function learnLoad(expectedMs: number, tookMs: number): number {
    return Math.max(expectedMs, Math.min(tookMs, expectedMs + MAX_LOAD_STEP_MS, MAX_LOAD_MS));
}

/** Expects a load later that requests have come too early for, and learns its duration. */
function extendLoad(
    state: ResidencyState,
    adapter: AdapterName,
    resident: Resident,
    { orderedAtMs, source }: AcceptedLoad,
    atMs: number,
): ResidencyState {
    const loadMs = source === "store" && atMs <= resident.sinceMs + MAX_LATENESS_MS
        ? learnLoad(state.loadMs, atMs - orderedAtMs + LATE_STEP_MS)
        : state.loadMs;
    const readyAtMs = Math.max(atMs + LATE_STEP_MS, source === "copy" ? orderedAtMs + loadMs : 0);
    const residents = new Map(state.residents).set(adapter, {
        ...resident,
        phase: { kind: "loading", readyAtMs },
        sinceMs: readyAtMs,
        load: { orderedAtMs, source: source === "copy" ? "store" : source },
    });
    const unloaded = new Map(state.unloaded);
    unloaded.delete(adapter);
    return { ...state, loadMs, residents, unloaded };
}

/** Marks loads as done once their expected time is over, and removes load requests that are satisfied or expired. */
function applyTick(state: ResidencyState, atMs: number): ResidencyState {
    const residents = new Map(state.residents);
    for (const [adapter, resident] of residents) {
        if (resident.phase.kind === "loading" && resident.phase.readyAtMs <= atMs) {
            residents.set(adapter, { ...resident, phase: { kind: "present" } });
        }
    }
    const loadRequests = new Map(state.loadRequests);
    for (const [adapter, loadRequest] of loadRequests) {
        const resident = residents.get(adapter);
        const isSatisfied = resident?.phase.kind === "present" && isNewEnough(resident.version, loadRequest.version);
        if (isSatisfied || loadRequest.untilMs <= atMs) {
            loadRequests.delete(adapter);
        }
    }
    return { ...state, residents, loadRequests };
}
