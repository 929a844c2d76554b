/** Factor by which a host may exceed its share of the weight store's load rate, derived from observed load times. */
export interface LoadRateFactor {
    /** Multiple of the host's share, at least 1. */
    readonly factor: number;
    /** Shortest observed load time, in milliseconds; undefined before the first load. */
    readonly shortestMs: number | undefined;
}

/** Factor of a host that has not loaded anything yet. */
export const INITIAL_LOAD_RATE_FACTOR: LoadRateFactor = { factor: 1, shortestMs: undefined };

/** Multiple of the shortest load time above which a load counts as slow. */
const SLOW_FACTOR = 1.5;
/** Increase of the factor after a fast load. */
const STEP_UP = 0.5;
/** Multiplier of the factor after a slow load. */
const STEP_DOWN = 0.5;
/** Growth of the shortest time with each load, so that a store that became slower is detected. */
const SHORTEST_GROWTH = 1.01;

/**
 * Adapts a host's load rate to the duration of a load: fast loads show that other hosts leave capacity unused.
 *
 * @param rate - Factor so far
 * @param loadMs - Time from the order to the reply, in milliseconds
 * @param maxFactor - Factor at which this host would use the whole store
 * @returns the next factor: increased after a fast load, halved after a slow one
 *
 * @example
 * const rate = adaptLoadRate(INITIAL_LOAD_RATE_FACTOR, 260, 3);
 */
export function adaptLoadRate(rate: LoadRateFactor, loadMs: number, maxFactor: number): LoadRateFactor {
    const shortestMs = Math.min(loadMs, (rate.shortestMs ?? loadMs) * SHORTEST_GROWTH);
    const isSlow = loadMs > shortestMs * SLOW_FACTOR;
    const factor = isSlow ? rate.factor * STEP_DOWN : rate.factor + STEP_UP;
    return { factor: Math.max(1, Math.min(maxFactor, factor)), shortestMs };
}
