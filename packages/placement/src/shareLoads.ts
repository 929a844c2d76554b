import type { LoadShare } from "./loadBudget.js";

/** The weight store's limits and the part of the engines that a host owns. */
export interface StoreSplit {
    readonly storeLoadsPerSecond: number;
    readonly storeMaxInTransit: number;
    readonly ownedEngines: number;
    readonly engines: number;
}

/** Starts that a host may save up. */
const BURST_LOADS = 2;

/**
 * Splits the weight store's limits by the engines that a host owns.
 *
 * @param split - Limits and engines
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
