/** How fast prompts have come to an engine of late. */
export interface PromptRate {
    /** Prompt tokens per millisecond at `atMs`. */
    readonly tokensPerMs: number;
    readonly atMs: number;
}

/** Rate of an engine that has got no prompt. */
export const NO_PROMPTS: PromptRate = { tokensPerMs: 0, atMs: 0 };

/** Time over which the rate is averaged, in milliseconds; streams run for some seconds. */
const AVERAGE_MS = 2000;

/**
 * Adds prompt tokens to an engine's rate, in which older ones count less and less.
 *
 * @param rate - Rate so far
 * @param tokens - Prompt tokens that have come since; 0 only lets time pass
 * @param atMs - Current time, in milliseconds
 * @returns the rate now
 *
 * @example
 * const rate = reducePromptRate(NO_PROMPTS, 9000, clock.nowMs());
 */
export function reducePromptRate({ tokensPerMs, atMs: lastMs }: PromptRate, tokens: number, atMs: number): PromptRate {
    const decayed = tokensPerMs * Math.exp(-Math.max(0, atMs - lastMs) / AVERAGE_MS);
    return { tokensPerMs: decayed + tokens / AVERAGE_MS, atMs };
}
