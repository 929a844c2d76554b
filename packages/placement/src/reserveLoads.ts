/** How urgently an engine of this host wants a load. */
export interface LoadDemand<Engine extends string = string> {
    readonly engine: Engine;
    /** Aged class of the first who waits; the lowest goes first. */
    readonly rank: number;
    readonly atMs: number;
}

/** Age beyond which a demand counts no more, in milliseconds. */
const DEMAND_MS = 200;

/**
 * Splits the loads that may start among the engines of a host, the most urgent demand first.
 *
 * @param allowed - Loads that may start now
 * @param own - The demand of the engine that asks
 * @param others - Demands of the host's other engines
 * @returns how many of them the engine may start
 *
 * @example
 * const left = reserveLoads(1, own, others);
 */
export function reserveLoads(allowed: number, own: LoadDemand, others: readonly LoadDemand[]): number {
    const ahead = others.filter(other =>
        other.engine !== own.engine && other.rank < own.rank && own.atMs - other.atMs <= DEMAND_MS
    );
    return Math.max(0, allowed - ahead.length);
}
