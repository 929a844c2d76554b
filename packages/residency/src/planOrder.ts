import type { EngineOrder } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import { chooseVictim } from "./chooseVictim.js";
import { isLoading } from "./isLoading.js";
import type { LoadRequest, ResidencyState } from "./residencyState.js";
import { sumUsage } from "./sumUsage.js";
import type { EngineUsage } from "./sumUsage.js";

/** Next action of an engine's owner. */
export type OwnerStep =
    | { readonly kind: "read_report" }
    | { readonly kind: "order"; readonly order: EngineOrder }
    /** There is nothing to do, or nothing is allowed now. */
    | { readonly kind: "wait" };

/** Maximum adapter loads in transit to one engine; engines reject more. */
const MAX_LOADS_IN_TRANSIT = 4;

const WAIT: OwnerStep = { kind: "wait" };

/**
 * Plans the next step of an engine's owner: read a report, load or unload an adapter, or wait.
 *
 * @param state - State of the engine that its owner maintains
 * @param atMs - Current time, in milliseconds
 * @returns the next step
 *
 * @example
 * const step = planOrder(state, clock.nowMs());
 */
export function planOrder(state: ResidencyState, atMs: number): OwnerStep {
    if (state.seq === undefined || state.modelPhase === "unknown" || state.modelPhase === "loading") {
        return atMs >= state.reportFromMs ? { kind: "read_report" } : WAIT;
    }
    if (state.modelPhase === "absent") {
        return { kind: "order", order: { kind: "load_model", model: state.model } };
    }
    if (atMs >= state.reportFromMs && isAnyLeaving(state)) {
        return { kind: "read_report" };
    }
    if (state.loadRequests.size === 0) {
        return WAIT;
    }
    const usage = sumUsage(state, atMs);
    const next = findNextLoadRequest(state, usage, atMs);
    if (next === undefined || countLoading(state) >= MAX_LOADS_IN_TRANSIT) {
        return WAIT;
    }
    const [adapter, loadRequest] = next;
    if (state.residents.has(adapter) || state.residents.size + countUnlisted(state, usage) < state.slots) {
        const order = { kind: "load_adapter", model: state.model, adapter, version: loadRequest.version } as const;
        return { kind: "order", order };
    }
    const victim = chooseVictim(state, usage, atMs);
    return victim === undefined
        ? WAIT
        : { kind: "order", order: { kind: "unload_adapter", model: state.model, adapter: victim } };
}

function findNextLoadRequest(
    state: ResidencyState,
    usage: EngineUsage,
    atMs: number,
): readonly [AdapterName, LoadRequest] | undefined {
    let next: readonly [AdapterName, LoadRequest] | undefined;
    for (const entry of state.loadRequests) {
        const [adapter, loadRequest] = entry;
        const mustWait = state.residents.has(adapter) && usage.byAdapter.has(adapter);
        // Replacing an adapter in use would block all other orders of the engine until its requests end.
        if (loadRequest.untilMs <= atMs || mustWait || isLoading(state, adapter, loadRequest)) {
            continue;
        }
        if (next === undefined || isBefore(loadRequest, next[1], atMs)) {
            next = entry;
        }
    }
    return next;
}

/** Tells whether `a` goes before `b`: requests that can be on time go before late ones, then by due time. */
function isBefore(a: LoadRequest, b: LoadRequest, atMs: number): boolean {
    const isLateA = a.dueMs <= atMs;
    const isLateB = b.dueMs <= atMs;
    return isLateA === isLateB ? a.dueMs < b.dueMs : isLateB;
}

/**
 * Counts adapters in use that the engine no longer lists. They are unloaded once their requests end and keep their
 * slots until then.
 */
function countUnlisted(state: ResidencyState, { byAdapter }: EngineUsage): number {
    return [...byAdapter.keys()].filter(adapter => !state.residents.has(adapter)).length;
}

function isAnyLeaving(state: ResidencyState): boolean {
    return [...state.residents.values()].some(resident => resident.phase.kind === "leaving");
}

function countLoading(state: ResidencyState): number {
    return [...state.residents.values()].filter(resident => resident.phase.kind === "loading").length;
}
