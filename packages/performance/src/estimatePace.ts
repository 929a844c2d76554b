import type { PaceMedians } from "./computeMedians.js";
import type { LearnedPace } from "./learnedPace.js";
import { MAX_CERTAINTY } from "./reducePerformance.js";

/** Values that count while nothing was learned of any engine of a service. */
export interface PaceDefaults {
    /** Tokens in one event of a stream. */
    readonly eventTokens: number;
    /** Whether the service runs no model. */
    readonly isPlain: boolean;
}

/** Speed of an engine while work takes as long as usual. */
export interface UsualPace {
    readonly promptTokensPerMs: number;
    readonly eventMs: number;
    readonly idleFirstByteMs: number;
    readonly workMs: number;
}

/** Prompt tokens that an engine of which nothing is known processes per millisecond; the deployments state 40.8. */
const DEFAULT_TOKENS_PER_MS = 40.8;
/** Time in which such an engine makes one token of each stream, in milliseconds; as the cost of a running request. */
const DEFAULT_STEP_MS = 7;
/** Time to the first byte at such an engine with a model while it is idle, in milliseconds. */
const DEFAULT_MODEL_FIRST_BYTE_MS = 60;
/** Time to the first byte at such an engine of a plain service, and duration of a request there, in milliseconds. */
const DEFAULT_PLAIN_MS = 40;
/** Range around the service's median in which an engine's values may be, as a factor. */
const MAX_DEVIATION_FACTOR = 8;
/** Weight of the service's median against an engine's own samples, in samples. */
const MEDIAN_WEIGHT = 2;
/** Weight of each time between events against a sample of the time per prompt token. */
const EVENT_WEIGHT = 1;

/**
 * Estimates an engine's usual speed. Few or old samples count less against the median of the service's engines, so that
 * an engine that gets no work because it was slow is tried again after some time.
 *
 * @param learned - What was learned of the engine; undefined if nothing was
 * @param medians - Medians over the service's engines
 * @param defaults - Properties of the service
 * @returns the speed; all values are positive and finite
 *
 * @example
 * const pace = estimatePace(learned, computeMedians(all), { eventTokens: 4, isPlain: false });
 */
export function estimatePace(
    learned: LearnedPace | undefined,
    medians: PaceMedians,
    { eventTokens, isPlain }: PaceDefaults,
): UsualPace {
    const defaultIdleMs = isPlain ? DEFAULT_PLAIN_MS : DEFAULT_MODEL_FIRST_BYTE_MS;
    const eventMedianMs = medians.eventMs ?? DEFAULT_STEP_MS * eventTokens;
    const eventMs = blend(learned?.eventMs, learned?.events, eventMedianMs, eventMedianMs);
    // Events are frequent, and an engine that makes them slowly processes prompts slowly too.
    const slowness = eventMs / eventMedianMs;
    const tokenMedianMs = medians.tokenMs ?? 1 / DEFAULT_TOKENS_PER_MS;
    const idleMedianMs = medians.idleMs ?? defaultIdleMs;
    const readWeight = MEDIAN_WEIGHT + readCertainty(learned?.events) * EVENT_WEIGHT;
    const workMedianMs = medians.workMs ?? DEFAULT_PLAIN_MS;
    const tokenMs = blend(learned?.tokenMs, learned?.reads, tokenMedianMs * slowness, tokenMedianMs, readWeight);
    return {
        promptTokensPerMs: 1 / tokenMs,
        eventMs,
        idleFirstByteMs: blend(learned?.idleMs, learned?.reads, idleMedianMs, idleMedianMs),
        workMs: blend(learned?.workMs, learned?.works, workMedianMs, workMedianMs),
    };
}

/** Blends an engine's own value with what is expected of it, on a logarithmic scale, in the range around the median. */
function blend(
    own: number | undefined,
    samples: number | undefined,
    expected: number,
    median: number,
    expectedWeight: number = MEDIAN_WEIGHT,
): number {
    const certainty = own === undefined || !(own > 0) || !Number.isFinite(own) ? 0 : readCertainty(samples);
    const share = certainty / (certainty + expectedWeight);
    const blended = own === undefined || share === 0 ? expected : expected ** (1 - share) * own ** share;
    return Math.min(median * MAX_DEVIATION_FACTOR, Math.max(median / MAX_DEVIATION_FACTOR, blended));
}

/** Reads a number of samples, which may come from another host. */
function readCertainty(samples: number | undefined): number {
    return samples !== undefined && samples > 0 ? Math.min(MAX_CERTAINTY, samples) : 0;
}
