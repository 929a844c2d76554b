import type { Clock } from "@fulmarcleat/ids";

/** How long adapter loads take, as this host and others have learned. */
export interface LoadTimes {
    /** Returns the expected duration of a load, in milliseconds. */
    readMs(): number;
    /** Takes a duration into account that this host or an engine's owner has learned, in milliseconds. */
    learn(loadMs: number): void;
}

/** Time after which half of what was learned beyond the usual duration is forgotten, in milliseconds. */
const HALF_LIFE_MS = 1500;

/**
 * Creates the expected duration of adapter loads: the longest that was learned, forgotten within seconds. Requests wait
 * for that long, and nothing shows that a load was done sooner; that loads still take longer is learned from a few
 * requests that came too early.
 *
 * @param clock - Source of the monotonic time
 * @param usualMs - Duration that is assumed at first, and never undercut, in milliseconds
 * @returns the expected duration
 *
 * @example
 * const loadTimes = createLoadTimes(clock, 255);
 */
export function createLoadTimes(clock: Pick<Clock, "nowMs">, usualMs: number): LoadTimes {
    let learned = { loadMs: usualMs, atMs: clock.nowMs() };
    const readMs = (): number =>
        usualMs + (learned.loadMs - usualMs) * 0.5 ** ((clock.nowMs() - learned.atMs) / HALF_LIFE_MS);
    return {
        readMs,
        learn(loadMs) {
            if (loadMs > readMs()) {
                learned = { loadMs, atMs: clock.nowMs() };
            }
        },
    };
}
