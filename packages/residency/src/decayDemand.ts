import type { Resident } from "./residencyState.js";

/** Half-life of an adapter's demand, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 15_000;

/**
 * Computes an adapter's current demand.
 *
 * @param resident - Demand and the time at which it was updated
 * @param atMs - Current time, in milliseconds
 * @returns number of recent requests, older ones weighted less
 *
 * @example
 * const demand = decayDemand(resident, clock.nowMs());
 */
export function decayDemand(resident: Pick<Resident, "demand" | "demandAtMs">, atMs: number): number {
    return resident.demand * 0.5 ** (Math.max(0, atMs - resident.demandAtMs) / DEMAND_HALF_LIFE_MS);
}
