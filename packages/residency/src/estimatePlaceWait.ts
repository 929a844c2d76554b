import { isEvictable } from "./isEvictable.js";
import { isLoading } from "./isLoading.js";
import type { ResidencyState } from "./residencyState.js";
import type { EngineUsage } from "./sumUsage.js";

/** Usual time for which requests use an adapter, in milliseconds. */
const USUAL_USE_MS = 1500;

/**
 * Estimates how long one more adapter would wait for an adapter slot of an engine.
 *
 * @param state - State of the engine that its owner maintains
 * @param usage - Requests in flight on the engine, summed over all hosts
 * @param atMs - Current time, in milliseconds
 * @returns the wait in milliseconds; 0 if a slot is free or can be freed at once
 *
 * @example
 * const waitMs = estimatePlaceWait(state, sumUsage(state, atMs), atMs);
 */
export function estimatePlaceWait(state: ResidencyState, usage: EngineUsage, atMs: number): number {
    let free = Math.max(0, state.slots - state.residents.size);
    for (const entry of state.residents) {
        if (isEvictable(state, entry, usage, atMs)) {
            free += 1;
        }
    }
    let ahead = 0;
    for (const [adapter, loadRequest] of state.loadRequests) {
        if (loadRequest.untilMs > atMs && !isLoading(state, adapter, loadRequest)) {
            ahead += 1;
        }
    }
    return Math.max(0, ahead + 1 - free) * USUAL_USE_MS / Math.max(1, state.slots);
}
