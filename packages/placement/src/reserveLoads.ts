/** Urgency of the next load of one engine of this host. */
export interface LoadDemand<Engine extends string = string> {
    readonly engine: Engine;
    /** Aged class of the first waiting request; the lowest goes first. */
    readonly rank: number;
    readonly atMs: number;
}

/** Age beyond which a demand is ignored, in milliseconds. */
const DEMAND_MS = 200;

/**
 * Computes how many of a host's allowed loads one engine may start, the most urgent demand first.
 *
 * @param allowed - Number of loads that the host may start now
 * @param own - Demand of the engine that may start the loads
 * @param others - Demands of the host's engines; an entry of the engine itself is ignored
 * @returns the number of loads that the engine may start
 *
 * @example
 * const loads = reserveLoads(1, own, others);
 */
export function reserveLoads(allowed: number, own: LoadDemand, others: readonly LoadDemand[]): number {
    const ahead = others.filter(other =>
        other.engine !== own.engine && other.rank < own.rank && own.atMs - other.atMs <= DEMAND_MS
    );
    return Math.max(0, allowed - ahead.length);
}
