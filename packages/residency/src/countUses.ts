import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState } from "./residencyState.js";

/** How long a host's word on its requests counts, in milliseconds; hosts tell it several times a second. */
const USE_VALID_MS = 2500;

/**
 * Counts the requests under way on an engine, over all hosts.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @param adapter - Counts only this adapter's, where given
 * @returns the number of requests
 *
 * @example
 * const running = countUses(state, clock.nowMs());
 */
export function countUses(state: ResidencyState, atMs: number, adapter?: AdapterName): number {
    let count = 0;
    for (const use of state.uses.values()) {
        if (atMs - use.atMs <= USE_VALID_MS) {
            count += adapter === undefined ? use.total : use.inFlight.get(adapter) ?? 0;
        }
    }
    return count;
}

/**
 * Counts the prompt tokens that wait to be read on an engine, over all hosts.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @returns the number of tokens
 *
 * @example
 * const tokens = countQueuedTokens(state, clock.nowMs());
 */
export function countQueuedTokens(state: ResidencyState, atMs: number): number {
    return [...state.uses.values()]
        .filter(use => atMs - use.atMs <= USE_VALID_MS)
        .reduce((sum, use) => sum + use.queuedTokens, 0);
}
