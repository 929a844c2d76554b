/**
 * Quantile of the gaps of one stream that counts as its engine's usual one. Steps in which the engine processes prompts
 * and periods in which its machine is busy make gaps longer; nothing makes them shorter.
 */
const GAP_SHARE = 0.2;

/**
 * Summarizes the gaps between the events of streams from one engine.
 *
 * @param gapsMs - The gaps, in milliseconds, in any order
 * @returns the usual gap; undefined without any
 *
 * @example
 * summarizeGaps([22, 22, 60, 140]); // 22
 */
export function summarizeGaps(gapsMs: readonly number[]): number | undefined {
    const sorted = [...gapsMs].sort((first, second) => first - second);
    return sorted[Math.floor(sorted.length * GAP_SHARE)];
}
