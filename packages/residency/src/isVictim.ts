import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";
import type { EngineUses } from "./sumUses.js";

/** How long a loaded adapter is kept for the request that it was loaded for, in milliseconds. */
const FRESH_MS = 400;

/**
 * Tells whether an adapter may make way now.
 *
 * @param state - The owner's knowledge
 * @param entry - The adapter on its engine
 * @param uses - Requests under way there
 * @param atMs - Time now, in milliseconds
 * @returns whether nobody uses or waits for it
 *
 * @example
 * const count = [...state.residents].filter(entry => isVictim(state, entry, uses, atMs)).length;
 */
export function isVictim(
    state: ResidencyState,
    [adapter, resident]: readonly [AdapterName, Resident],
    uses: EngineUses,
    atMs: number,
): boolean {
    return resident.phase.kind === "present"
        && !state.wants.has(adapter)
        && atMs - resident.sinceMs >= FRESH_MS
        && !uses.byAdapter.has(adapter);
}
