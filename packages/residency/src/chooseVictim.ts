import type { AdapterName } from "@fulmarcleat/ids";
import { countUses } from "./countUses.js";
import { fadeDemand } from "./fadeDemand.js";
import type { ResidencyState, Resident } from "./residencyState.js";

/** How long a loaded adapter is kept for the request that it was loaded for, in milliseconds. */
const FRESH_MS = 400;

/**
 * Chooses the adapter that makes way: one that nobody uses or waits for, with the least demand.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @returns the adapter, or undefined where all are needed
 *
 * @example
 * const victim = chooseVictim(state, clock.nowMs());
 */
export function chooseVictim(state: ResidencyState, atMs: number): AdapterName | undefined {
    let victim: { readonly adapter: AdapterName; readonly demand: number } | undefined;
    for (const entry of state.residents) {
        if (!isVictim(state, entry, atMs)) {
            continue;
        }
        const [adapter, resident] = entry;
        const demand = fadeDemand(resident, atMs);
        if (victim === undefined || demand < victim.demand) {
            victim = { adapter, demand };
        }
    }
    return victim?.adapter;
}

/**
 * Tells whether an adapter may make way now.
 *
 * @param state - The owner's knowledge
 * @param entry - The adapter on its engine
 * @param atMs - Time now, in milliseconds
 * @returns whether nobody uses or waits for it
 *
 * @example
 * const count = [...state.residents].filter(entry => isVictim(state, entry, atMs)).length;
 */
export function isVictim(
    state: ResidencyState,
    [adapter, resident]: readonly [AdapterName, Resident],
    atMs: number,
): boolean {
    return resident.phase.kind === "present"
        && !state.wants.has(adapter)
        && atMs - resident.sinceMs >= FRESH_MS
        && countUses(state, atMs, adapter) === 0;
}
