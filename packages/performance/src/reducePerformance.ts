import { addSample } from "./addSample.js";
import { estimateQuantile } from "./estimateQuantile.js";
import type { LearnedPace } from "./learnedPace.js";
import { limitStep } from "./limitStep.js";
import type { Sample, SampleDecay, SampleWindow } from "./sampleWindow.js";

/** One observation of an engine; durations are divided by its slowdown at that time. */
export interface PerformanceSample {
    /**
     * - `first_byte`: time from a send to the first byte of the answer, for the prompt tokens of the request and of those
     *   that were queued ahead
     * - `event`: time between two events of a stream
     * - `work`: duration of a plain service's request
     */
    readonly kind: "event" | "first_byte" | "work";
    readonly ms: number;
    /** Prompt tokens for a first byte, else 0. */
    readonly tokens: number;
}

/** What is known of one engine's performance. */
export interface EnginePerformance {
    readonly firstBytes: SampleWindow;
    readonly events: SampleWindow;
    readonly works: SampleWindow;
    readonly learned: LearnedPace;
    readonly changedAtMs: number;
}

/** An engine that has not been observed. */
export const UNKNOWN_PERFORMANCE: EnginePerformance = {
    firstBytes: [],
    events: [],
    works: [],
    learned: {
        tokenMs: undefined,
        eventMs: undefined,
        idleMs: undefined,
        workMs: undefined,
        reads: 0,
        events: 0,
        works: 0,
    },
    changedAtMs: 0,
};

/** Samples of one quantity that an engine's owner keeps. */
export const OWNER_SAMPLES = 32;
/** Samples of one quantity that each host keeps of an engine; they count only while no owner has reported. */
export const HOST_SAMPLES = 8;
/** Number of samples at which more of them make an estimate no more certain; lets old estimates fade in bounded time. */
export const MAX_CERTAINTY = 16;
/** Time without samples that halves the certainty of an estimate, in milliseconds. */
const CERTAINTY_HALF_LIFE_MS = 15_000;
/** Decay of first bytes and work; short, so that a change shows within some requests. */
const REQUEST_DECAY: SampleDecay = { halfLifeSamples: 6, halfLifeMs: 1000 };
/** Decay of times between events, which scatter less than first bytes. */
const EVENT_DECAY: SampleDecay = { halfLifeSamples: 4, halfLifeMs: 1000 };
/** Prompt tokens from which a first byte says how fast prompts are processed, and below which, how long the rest takes. */
const MIN_LONG_TOKENS = 512;
/** Prompt tokens above which a first byte has no more weight; one very long prompt must not outweigh all others. */
const MAX_WEIGHT_TOKENS = 2048;
/**
 * Quantile of the time per prompt token that counts as the engine's. Parts of prompts that the engine has kept make first
 * bytes early and are more frequent than late ones, whose known causes are taken out; so it lies above the median.
 */
const TOKEN_SHARE = 0.65;
/** Quantile of first bytes of short prompts that counts as the engine's; unknown queues make them late. */
const IDLE_SHARE = 0.35;
/** Quantile of all first bytes that no idle engine exceeds; used while no short prompt was seen. */
const EARLY_SHARE = 0.1;
/** Part of an early first byte that is taken as independent of the prompt while no short prompt was seen. */
const EARLY_IDLE_PART = 0.5;
/** Shortest time per prompt token, in milliseconds; first bytes may come at once. */
const MIN_TOKEN_MS = 0.001;
/** Shortest time to a first byte and between events, in milliseconds. */
const MIN_MS = 0.1;

/**
 * Updates what is known of an engine's performance with one observation.
 *
 * @param state - State so far
 * @param sample - The observation
 * @param atMs - Current time, in milliseconds
 * @param capacity - Most samples of one quantity that are kept
 * @returns the updated state
 *
 * @example
 * const next = reducePerformance(UNKNOWN_PERFORMANCE, { kind: "first_byte", ms: 90, tokens: 2048 }, 500, OWNER_SAMPLES);
 */
export function reducePerformance(
    state: EnginePerformance,
    { kind, ms, tokens }: PerformanceSample,
    atMs: number,
    capacity: number,
): EnginePerformance {
    const sample: Sample = { ms, tokens, atMs };
    const faded = { ...state, learned: fadeLearned(state, atMs), changedAtMs: atMs };
    switch (kind) {
        case "first_byte": {
            const firstBytes = addSample(state.firstBytes, sample, capacity);
            return firstBytes === state.firstBytes ? state : {
                ...faded,
                firstBytes,
                learned: {
                    ...faded.learned,
                    ...learnReading(firstBytes, state.learned, atMs),
                    reads: addOne(faded.learned.reads),
                },
            };
        }
        case "event": {
            const events = addSample(state.events, sample, capacity);
            return events === state.events ? state : {
                ...faded,
                events,
                learned: {
                    ...faded.learned,
                    eventMs: limitStep(state.learned.eventMs, estimateMedian(events, EVENT_DECAY, atMs)),
                    events: addOne(faded.learned.events),
                },
            };
        }
        case "work": {
            const works = addSample(state.works, sample, capacity);
            return works === state.works ? state : {
                ...faded,
                works,
                learned: {
                    ...faded.learned,
                    workMs: limitStep(state.learned.workMs, estimateMedian(works, REQUEST_DECAY, atMs)),
                    works: addOne(faded.learned.works),
                },
            };
        }
    }
}

/**
 * Returns what was learned of an engine, with the certainty that is left of it.
 *
 * @param state - What is known of the engine
 * @param atMs - Current time, in milliseconds
 * @returns the learned values
 *
 * @example
 * const { tokenMs, reads } = fadeLearned(state, clock.nowMs());
 */
export function fadeLearned({ learned, changedAtMs }: EnginePerformance, atMs: number): LearnedPace {
    const factor = 0.5 ** (Math.max(0, atMs - changedAtMs) / CERTAINTY_HALF_LIFE_MS);
    return {
        ...learned,
        reads: learned.reads * factor,
        events: learned.events * factor,
        works: learned.works * factor,
    };
}

function addOne(certainty: number): number {
    return Math.min(MAX_CERTAINTY, certainty + 1);
}

function estimateMedian(window: SampleWindow, decay: SampleDecay, atMs: number): number | undefined {
    return estimateQuantile(window, {
        share: 0.5,
        read: ({ ms }) => Math.max(MIN_MS, ms),
        weigh: () => 1,
        decay,
        atMs,
    });
}

/** Learns the time that first bytes take with and without the processing of prompts. */
function learnReading(
    firstBytes: SampleWindow,
    { tokenMs: formerTokenMs, idleMs: formerIdleMs }: LearnedPace,
    atMs: number,
): Pick<LearnedPace, "idleMs" | "tokenMs"> {
    const shortMs = estimateQuantile(firstBytes, {
        share: IDLE_SHARE,
        read: ({ ms, tokens }) =>
            tokens >= MIN_LONG_TOKENS ? undefined : Math.max(MIN_MS, ms - tokens * (formerTokenMs ?? 0)),
        weigh: () => 1,
        decay: REQUEST_DECAY,
        atMs,
    });
    const idleMs = limitStep(formerIdleMs, shortMs);
    const earlyMs = estimateQuantile(firstBytes, {
        share: EARLY_SHARE,
        read: ({ ms }) => ms,
        weigh: () => 1,
        decay: REQUEST_DECAY,
        atMs,
    }) ?? 0;
    const withoutReadingMs = idleMs ?? earlyMs * EARLY_IDLE_PART;
    const tokenMs = estimateQuantile(firstBytes, {
        share: TOKEN_SHARE,
        read: ({ ms, tokens }) =>
            tokens < MIN_LONG_TOKENS ? undefined : Math.max(MIN_TOKEN_MS, (ms - withoutReadingMs) / tokens),
        weigh: ({ tokens }) => Math.min(tokens, MAX_WEIGHT_TOKENS),
        decay: REQUEST_DECAY,
        atMs,
    });
    return { idleMs, tokenMs: limitStep(formerTokenMs, tokenMs) };
}
