import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";
import type { EngineUsage } from "./sumUsage.js";

/** Minimum time on the engine after a load, in milliseconds; lets the request that caused the load run. */
const MIN_RESIDENCE_MS = 400;

/**
 * Tells whether an adapter can be evicted now.
 *
 * @param state - State of the engine that its owner maintains
 * @param entry - Name and state of the adapter
 * @param usage - Requests in flight on the engine, summed over all hosts
 * @param atMs - Current time, in milliseconds
 * @returns true if it is loaded, no request uses or waits for it, and it was not loaded just now
 *
 * @example
 * const count = [...state.residents].filter(entry => isEvictable(state, entry, usage, atMs)).length;
 */
export function isEvictable(
    state: ResidencyState,
    [adapter, resident]: readonly [AdapterName, Resident],
    usage: EngineUsage,
    atMs: number,
): boolean {
    return resident.phase.kind === "present"
        && !state.loadRequests.has(adapter)
        && atMs - resident.sinceMs >= MIN_RESIDENCE_MS
        && !usage.byAdapter.has(adapter);
}
