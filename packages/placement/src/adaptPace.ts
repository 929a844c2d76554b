/** How much faster than its plain share a host may start loads, by what it has seen of the store. */
export interface LoadPace {
    /** Multiple of the plain share, at least 1. */
    readonly factor: number;
    /** Shortest load seen, in milliseconds; undefined before the first. */
    readonly shortestMs: number | undefined;
}

/** Pace of a host that has seen no load. */
export const INITIAL_PACE: LoadPace = { factor: 1, shortestMs: undefined };

const SLOW_SHARE = 1.5;
const STEP_UP = 0.5;
const STEP_DOWN = 0.5;
/** Growth of the shortest time at each load, so that a store that became slower is learnt. */
const FORGET_SHARE = 1.01;

/**
 * Adapts a host's pace to a load's time: quick loads show that others leave part of the store unused.
 *
 * @param pace - The pace so far
 * @param loadMs - Time from order to answer, in milliseconds
 * @param maxFactor - Multiple at which this host would have the whole store
 * @returns the next pace: a step up after a quick load, half after a slow one
 *
 * @example
 * const pace = adaptPace(INITIAL_PACE, 260, 3);
 */
export function adaptPace(pace: LoadPace, loadMs: number, maxFactor: number): LoadPace {
    const shortestMs = Math.min(loadMs, (pace.shortestMs ?? loadMs) * FORGET_SHARE);
    const isSlow = loadMs > shortestMs * SLOW_SHARE;
    const factor = isSlow ? pace.factor * STEP_DOWN : pace.factor + STEP_UP;
    return { factor: Math.max(1, Math.min(maxFactor, factor)), shortestMs };
}
