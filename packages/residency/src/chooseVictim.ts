import type { AdapterName } from "@fulmarcleat/ids";
import { fadeDemand } from "./fadeDemand.js";
import { isVictim } from "./isVictim.js";
import type { ResidencyState } from "./residencyState.js";
import type { EngineUses } from "./sumUses.js";

/**
 * Chooses the adapter that makes way: one that nobody uses or waits for, with the least demand.
 *
 * @param state - The owner's knowledge
 * @param uses - Requests under way there
 * @param atMs - Time now, in milliseconds
 * @returns the adapter, or undefined where all are needed
 *
 * @example
 * const victim = chooseVictim(state, sumUses(state, atMs), atMs);
 */
export function chooseVictim(state: ResidencyState, uses: EngineUses, atMs: number): AdapterName | undefined {
    let victim: { readonly adapter: AdapterName; readonly demand: number } | undefined;
    for (const entry of state.residents) {
        if (!isVictim(state, entry, uses, atMs)) {
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
