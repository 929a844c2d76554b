import type { AdapterName } from "@fulmarcleat/ids";
import { countUses } from "./countUses.js";
import { fadeDemand } from "./fadeDemand.js";
import type { ResidencyState } from "./residencyState.js";

/** How long a loaded adapter is kept for the request that it was loaded for, in milliseconds. */
const FRESH_MS = 800;

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
    for (const [adapter, resident] of state.residents) {
        if (
            resident.phase.kind !== "present"
            || state.wants.has(adapter)
            || atMs - resident.sinceMs < FRESH_MS
            || countUses(state, atMs, adapter) > 0
        ) {
            continue;
        }
        const demand = fadeDemand(resident, atMs);
        if (victim === undefined || demand < victim.demand) {
            victim = { adapter, demand };
        }
    }
    return victim?.adapter;
}
