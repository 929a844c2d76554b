/** A rate of events that fades with time. */
export interface DecayedRate {
    readonly perSecond: number;
    readonly atMs: number;
}

/** Time in which a rate fades to a share of 1/e, in milliseconds. */
export const RATE_DECAY_MS = 10_000;

const MS_PER_SECOND = 1000;

/**
 * Moves a decayed rate on in time and adds events.
 *
 * @param rate - The rate so far, or undefined at the first event
 * @param events - How many events happened now
 * @param nowMs - The present, in milliseconds
 * @param decayMs - Time in which the rate fades to 1/e, in milliseconds
 * @returns the rate as of now
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
    const faded = rate === undefined ? 0 : rate.perSecond * Math.exp(-Math.max(0, nowMs - rate.atMs) / decayMs);
    return { perSecond: faded + events * MS_PER_SECOND / decayMs, atMs: nowMs };
}
