import { rankWaiting } from "@fulmarcleat/admission";
import type { LoadCandidate } from "@fulmarcleat/placement";
import type { EngineState, WaitingRequest } from "./engineState.js";
import { formatModel } from "./formatModel.js";

/** An adapter version that requests wait for and that is neither loaded nor being loaded. */
export interface UnloadedModel extends LoadCandidate {
    /** The first request in the queue that waits for it. */
    readonly first: WaitingRequest;
}

/**
 * Lists the adapter versions that must be loaded for the requests that wait, except those in load backoff.
 *
 * @param state - Current state of the engine
 * @param nowMs - Current time, in milliseconds
 * @returns one entry for each adapter version
 *
 * @example
 * const [next] = orderLoads(listUnloaded(state, nowMs));
 */
export function listUnloaded(state: EngineState, nowMs: number): readonly UnloadedModel[] {
    if (state.waiting.length === 0) {
        return [];
    }
    const excluded = new Set<string>();
    state.instances
        .filter(instance => instance.status !== "foreign" && instance.status !== "unloading")
        .forEach(instance => excluded.add(formatModel(instance)));
    state.backoffs.filter(backoff => backoff.untilMs > nowMs).forEach(backoff => excluded.add(formatModel(backoff)));
    const models = new Map<string, UnloadedModel>();
    for (const waiting of state.waiting) {
        const model = formatModel(waiting);
        if (excluded.has(model)) {
            continue;
        }
        const previous = models.get(model);
        const rank = rankWaiting(waiting, { nowMs, agingMs: state.limits.agingMs });
        models.set(model, {
            first: previous?.first ?? waiting,
            rank: Math.min(rank, previous?.rank ?? rank),
            waiting: (previous?.waiting ?? 0) + 1,
            waitingUrgent: (previous?.waitingUrgent ?? 0) + (waiting.priority === "urgent" ? 1 : 0),
            oldestMs: Math.min(waiting.arrivedMs, previous?.oldestMs ?? waiting.arrivedMs),
        });
    }
    return [...models.values()];
}
