import { isOnItsWay } from "./isOnItsWay.js";
import { isVictim } from "./isVictim.js";
import type { ResidencyState } from "./residencyState.js";
import type { EngineUses } from "./sumUses.js";

/** Usual time for which requests use an adapter's place, in milliseconds. */
const USE_MS = 1500;

/**
 * Estimates how long one more adapter would wait for a place on an engine.
 *
 * @param state - The owner's knowledge
 * @param uses - Requests under way there
 * @param atMs - Time now, in milliseconds
 * @returns milliseconds; 0 where a place is free or can be made free at once
 *
 * @example
 * const waitMs = estimatePlaceWait(state, sumUses(state, atMs), atMs);
 */
export function estimatePlaceWait(state: ResidencyState, uses: EngineUses, atMs: number): number {
    let free = Math.max(0, state.slots - state.residents.size);
    for (const entry of state.residents) {
        if (isVictim(state, entry, uses, atMs)) {
            free += 1;
        }
    }
    let ahead = 0;
    for (const [adapter, want] of state.wants) {
        if (want.untilMs > atMs && !isOnItsWay(state, adapter, want)) {
            ahead += 1;
        }
    }
    return Math.max(0, ahead + 1 - free) * USE_MS / Math.max(1, state.slots);
}
