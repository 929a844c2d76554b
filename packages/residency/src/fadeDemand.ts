import type { Resident } from "./residencyState.js";

/** Time in which an adapter's demand halves without requests, in milliseconds. */
const DEMAND_HALF_MS = 15_000;

/**
 * Gives an adapter's demand now.
 *
 * @param resident - The adapter on its engine
 * @param atMs - Time now, in milliseconds
 * @returns requests lately, older ones weighed less
 *
 * @example
 * const demand = fadeDemand(resident, clock.nowMs());
 */
export function fadeDemand(resident: Pick<Resident, "demand" | "demandAtMs">, atMs: number): number {
    return resident.demand * 0.5 ** (Math.max(0, atMs - resident.demandAtMs) / DEMAND_HALF_MS);
}
