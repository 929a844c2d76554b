import { rankWaiting } from "@fulmarcleat/admission";
import type { LoadCandidate } from "@fulmarcleat/placement";
import type { EngineState, Waiting } from "./engineState.js";
import { formatModel } from "./formatModel.js";

/** An adapter version that requests wait for and that is neither loaded nor on its way. */
export interface UnloadedModel extends LoadCandidate {
    /** The request that has waited for it longest. */
    readonly first: Waiting;
}

/**
 * Lists what has to be loaded for the requests that wait; what lately failed to load is left out.
 *
 * @param state - The engine
 * @param nowMs - The present, in milliseconds
 * @returns one entry for each adapter version
 *
 * @example
 * const [next] = orderLoads(listUnloaded(state, nowMs));
 */
export function listUnloaded(state: EngineState, nowMs: number): readonly UnloadedModel[] {
    if (state.waiting.length === 0) {
        return [];
    }
    const held = new Set<string>();
    state.instances
        .filter(instance => instance.status !== "foreign" && instance.status !== "unloading")
        .forEach(instance => held.add(formatModel(instance)));
    state.backoffs.filter(backoff => backoff.untilMs > nowMs).forEach(backoff => held.add(formatModel(backoff)));
    const models = new Map<string, UnloadedModel>();
    for (const waiting of state.waiting) {
        const model = formatModel(waiting);
        if (held.has(model)) {
            continue;
        }
        const known = models.get(model);
        const rank = rankWaiting(waiting, { nowMs, agingMs: state.limits.agingMs });
        models.set(model, {
            first: known?.first ?? waiting,
            rank: Math.min(rank, known?.rank ?? rank),
            waiting: (known?.waiting ?? 0) + 1,
            waitingUrgent: (known?.waitingUrgent ?? 0) + (waiting.priority === "urgent" ? 1 : 0),
            oldestMs: Math.min(waiting.arrivedMs, known?.oldestMs ?? waiting.arrivedMs),
        });
    }
    return [...models.values()];
}
