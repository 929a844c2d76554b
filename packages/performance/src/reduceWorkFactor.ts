import { addSample } from "./addSample.js";
import { estimateQuantile } from "./estimateQuantile.js";
import type { SampleDecay, SampleWindow } from "./sampleWindow.js";

/** How long work takes on an engine, as its load headers state it. */
export interface WorkFactor {
    /** The last statement, in percent; undefined before the first. */
    readonly percent: number | undefined;
    readonly atMs: number;
    /** What the engine usually states; its durations hold percents. */
    readonly stated: SampleWindow;
    /** Median of what the engine has stated, in percent; 100 until it is known. */
    readonly usualPercent: number;
}

/** An engine that has stated nothing. */
export const UNKNOWN_WORK_FACTOR: WorkFactor = { percent: undefined, atMs: 0, stated: [], usualPercent: 100 };

/** How long a statement is used, in milliseconds; it changes many times per second. */
const WORK_PERCENT_VALID_MS = 150;
/** Lowest statement that is taken as it is, in percent. */
const MIN_WORK_PERCENT = 10;
/** Highest statement that is taken as it is, in percent. */
const MAX_WORK_PERCENT = 1000;
/** Statements that are kept for the usual one. */
const STATED_CAPACITY = 16;
/** Statements from which the usual one is known; 100 counts before. */
const MIN_STATED = 5;
/**
 * Interval between two statements that count for the usual one, in milliseconds. The kept ones then span at least half a
 * minute, so that an engine that is slow for 6 s doesn't make that usual; with 300 ms it did.
 */
const STATED_INTERVAL_MS = 2000;
/** Decay of statements; long against periods in which an engine is slow, so that these don't become usual. */
const STATED_DECAY: SampleDecay = { halfLifeSamples: 16, halfLifeMs: 60_000 };
/** Lowest factor by which work is taken to be faster than usual. */
const MIN_SLOWDOWN = 0.5;
/** Highest factor by which work is taken to be slower than usual. */
const MAX_SLOWDOWN = 8;

/**
 * Records how long work takes on an engine, as a load header states it.
 *
 * @param state - State so far
 * @param percent - The header's fourth number, 100 = as usual
 * @param atMs - Current time, in milliseconds
 * @returns the updated state
 *
 * @example
 * const next = reduceWorkFactor(UNKNOWN_WORK_FACTOR, 250, clock.nowMs());
 */
export function reduceWorkFactor(state: WorkFactor, percent: number, atMs: number): WorkFactor {
    if (!Number.isFinite(percent)) {
        return state;
    }
    const bounded = Math.min(MAX_WORK_PERCENT, Math.max(MIN_WORK_PERCENT, percent));
    const last = state.stated.at(-1);
    if (last !== undefined && atMs - last.atMs < STATED_INTERVAL_MS) {
        return { ...state, percent: bounded, atMs };
    }
    const stated = addSample(state.stated, { ms: bounded, tokens: 0, atMs }, STATED_CAPACITY);
    const median = stated.length < MIN_STATED
        ? undefined
        : estimateQuantile(stated, { share: 0.5, read: ({ ms }) => ms, weigh: () => 1, decay: STATED_DECAY, atMs });
    return { percent: bounded, atMs, stated, usualPercent: median ?? state.usualPercent };
}

/**
 * Returns the present factor on the durations of an engine's work. What the engine states is compared with what it
 * usually states, so that an engine that always states too much or too little changes nothing.
 *
 * @param state - What the engine has stated
 * @param atMs - Current time, in milliseconds
 * @returns the factor; 1 if work takes as long as usual, or if the last statement is too old
 *
 * @example
 * const slowdown = readSlowdown(state, clock.nowMs());
 */
export function readSlowdown({ percent, atMs: statedMs, usualPercent }: WorkFactor, atMs: number): number {
    return percent === undefined || atMs - statedMs > WORK_PERCENT_VALID_MS
        ? 1
        : Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, percent / usualPercent));
}
