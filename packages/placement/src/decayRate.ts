/** A rate of events that decays over time. */
export interface DecayedRate {
    readonly perSecond: number;
    readonly atMs: number;
}

/** Default time in which a rate decays to 1/e, in milliseconds. */
export const RATE_DECAY_MS = 10_000;

const MS_PER_SECOND = 1000;

/**
 * Decays a rate to the current time and adds events.
 *
 * @param rate - Rate so far; undefined before the first event
 * @param events - Number of events at the current time
 * @param nowMs - Current time, in milliseconds
 * @param decayMs - Time in which the rate decays to 1/e, in milliseconds
 * @returns the rate at the current time
 *
 * @example
 * const rate = decayRate(previous, 1, clock.nowMs());
 */
export function decayRate(
    rate: DecayedRate | undefined,
    events: number,
    nowMs: number,
    decayMs = RATE_DECAY_MS,
): DecayedRate {
    const decayed = rate === undefined ? 0 : rate.perSecond * Math.exp(-Math.max(0, nowMs - rate.atMs) / decayMs);
    return { perSecond: decayed + events * MS_PER_SECOND / decayMs, atMs: nowMs };
}
