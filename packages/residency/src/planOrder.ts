import type { EngineOrder } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import { chooseVictim } from "./chooseVictim.js";
import { countUses } from "./countUses.js";
import type { ResidencyState, Want } from "./residencyState.js";

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
    const next = findNextWant(state, atMs);
    if (next === undefined || countLoading(state) >= TRANSIT_LIMIT) {
        return WAIT;
    }
    const [adapter, want] = next;
    if (state.residents.has(adapter) || state.residents.size + countUnlisted(state, atMs) < state.slots) {
        const order = { kind: "load_adapter", model: state.model, adapter, version: want.version } as const;
        return { kind: "order", order };
    }
    const victim = chooseVictim(state, atMs);
    return victim === undefined
        ? WAIT
        : { kind: "order", order: { kind: "unload_adapter", model: state.model, adapter: victim } };
}

function findNextWant(state: ResidencyState, atMs: number): readonly [AdapterName, Want] | undefined {
    let next: readonly [AdapterName, Want] | undefined;
    for (const entry of state.wants) {
        const [adapter, want] = entry;
        const mustWait = state.residents.has(adapter) && countUses(state, atMs, adapter) > 0;
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

/** Tells whether what a request waits for is there already or has been ordered. */
export function isOnItsWay(state: ResidencyState, adapter: AdapterName, want: Want): boolean {
    const resident = state.residents.get(adapter);
    return resident !== undefined
        && (resident.phase.kind === "leaving"
            || want.version === undefined
            || (resident.version !== undefined && resident.version >= want.version));
}

/**
 * Counts adapters that requests run on though the engine does not list them: they leave once these have ended, and
 * take their places until then.
 */
function countUnlisted(state: ResidencyState, atMs: number): number {
    const used = new Set([...state.uses.values()].flatMap(use => [...use.inFlight.keys()]));
    return [...used].filter(adapter => !state.residents.has(adapter) && countUses(state, atMs, adapter) > 0).length;
}

function isAnyLeaving(state: ResidencyState): boolean {
    return [...state.residents.values()].some(resident => resident.phase.kind === "leaving");
}

function countLoading(state: ResidencyState): number {
    return [...state.residents.values()].filter(resident => resident.phase.kind === "loading").length;
}
