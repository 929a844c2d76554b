import type { LoadShare } from "./loadBudget.js";

/** Limits of the weight store and the share of engines that a host owns. */
export interface StoreSplit {
    readonly storeLoadsPerSecond: number;
    readonly storeMaxInTransit: number;
    readonly ownedEngines: number;
    readonly engines: number;
}

/** Maximum number of load starts that a host may accumulate. */
const BURST_LOADS = 2;

/**
 * Computes a host's share of the weight store's limits from the engines that it owns.
 *
 * @param split - Limits of the store, the host's engines and all engines
 * @returns the host's share
 *
 * @example
 * const share = shareLoads({ storeLoadsPerSecond: 2, storeMaxInTransit: 8, ownedEngines: 2, engines: 6 });
 */
export function shareLoads(split: StoreSplit): LoadShare {
    const part = split.ownedEngines / Math.max(1, split.engines);
    return {
        loadsPerSecond: split.storeLoadsPerSecond * part,
        maxInTransit: Math.max(1, Math.floor(split.storeMaxInTransit * part)),
        maxFactor: part === 0 ? 1 : 1 / part,
        burst: BURST_LOADS,
    };
}
