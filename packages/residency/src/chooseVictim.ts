import type { AdapterName } from "@fulmarcleat/ids";
import { decayDemand } from "./decayDemand.js";
import { isEvictable } from "./isEvictable.js";
import type { ResidencyState } from "./residencyState.js";
import type { EngineUsage } from "./sumUsage.js";

/**
 * Chooses the adapter to evict: the one with the least demand among those that no request uses or waits for.
 *
 * @param state - State of the engine that its owner maintains
 * @param usage - Requests in flight on the engine, summed over all hosts
 * @param atMs - Current time, in milliseconds
 * @returns the adapter to unload, or undefined if none can be evicted
 *
 * @example
 * const victim = chooseVictim(state, sumUsage(state, atMs), atMs);
 */
export function chooseVictim(state: ResidencyState, usage: EngineUsage, atMs: number): AdapterName | undefined {
    let victim: { readonly adapter: AdapterName; readonly demand: number } | undefined;
    for (const entry of state.residents) {
        if (!isEvictable(state, entry, usage, atMs)) {
            continue;
        }
        const [adapter, resident] = entry;
        const demand = decayDemand(resident, atMs);
        if (victim === undefined || demand < victim.demand) {
            victim = { adapter, demand };
        }
    }
    return victim?.adapter;
}
