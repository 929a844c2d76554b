import type { EngineOrder } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import { chooseVictim } from "./chooseVictim.js";
import { isOnItsWay } from "./isOnItsWay.js";
import type { ResidencyState, Want } from "./residencyState.js";
import { sumUses } from "./sumUses.js";
import type { EngineUses } from "./sumUses.js";

/** The next thing that an owner does to its engine. */
export type OwnerStep =
    | { readonly kind: "read_report" }
    | { readonly kind: "order"; readonly order: EngineOrder }
    /** Nothing to do, or nothing that may be done now. */
    | { readonly kind: "wait" };

/** Adapters that may be in transit to one engine at a time; engines take no more. */
const TRANSIT_LIMIT = 4;

const WAIT: OwnerStep = { kind: "wait" };

/**
 * Plans the next step of an engine's owner.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @returns the step
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
    if (state.wants.size === 0) {
        return WAIT;
    }
    const uses = sumUses(state, atMs);
    const next = findNextWant(state, uses, atMs);
    if (next === undefined || countLoading(state) >= TRANSIT_LIMIT) {
        return WAIT;
    }
    const [adapter, want] = next;
    if (state.residents.has(adapter) || state.residents.size + countUnlisted(state, uses) < state.slots) {
        const order = { kind: "load_adapter", model: state.model, adapter, version: want.version } as const;
        return { kind: "order", order };
    }
    const victim = chooseVictim(state, uses, atMs);
    return victim === undefined
        ? WAIT
        : { kind: "order", order: { kind: "unload_adapter", model: state.model, adapter: victim } };
}

function findNextWant(
    state: ResidencyState,
    uses: EngineUses,
    atMs: number,
): readonly [AdapterName, Want] | undefined {
    let next: readonly [AdapterName, Want] | undefined;
    for (const entry of state.wants) {
        const [adapter, want] = entry;
        const mustWait = state.residents.has(adapter) && uses.byAdapter.has(adapter);
        // Replacing an adapter in use would hold up every other order of the engine until its requests end.
        if (want.untilMs <= atMs || mustWait || isOnItsWay(state, adapter, want)) {
            continue;
        }
        if (next === undefined || isBefore(want, next[1], atMs)) {
            next = entry;
        }
    }
    return next;
}

/** Requests that can still be on time go first, the one with the least time left at the front. */
function isBefore(a: Want, b: Want, atMs: number): boolean {
    const isLateA = a.dueMs <= atMs;
    const isLateB = b.dueMs <= atMs;
    return isLateA === isLateB ? a.dueMs < b.dueMs : isLateB;
}

/**
 * Counts adapters that requests run on though the engine does not list them: they leave once these have ended, and
 * take their places until then.
 */
function countUnlisted(state: ResidencyState, { byAdapter }: EngineUses): number {
    return [...byAdapter.keys()].filter(adapter => !state.residents.has(adapter)).length;
}

function isAnyLeaving(state: ResidencyState): boolean {
    return [...state.residents.values()].some(resident => resident.phase.kind === "leaving");
}

function countLoading(state: ResidencyState): number {
    return [...state.residents.values()].filter(resident => resident.phase.kind === "loading").length;
}
