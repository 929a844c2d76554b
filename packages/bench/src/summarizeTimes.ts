/** Holds percentiles and mean of times, in milliseconds. */
export interface TimeSummary {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly mean: number;
}

/**
 * Computes percentiles and mean of times.
 *
 * @param times - Times in milliseconds, in any order
 * @returns percentiles and mean; 0 if there are no times
 *
 * @example
 * summarizeTimes([1, 2, 3]).p50; // 2
 */
export function summarizeTimes(times: readonly number[]): TimeSummary {
    const sorted = [...times].sort((a, b) => a - b);
    const at = (share: number): number =>
        sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0;
    const mean = sorted.length === 0 ? 0 : sorted.reduce((sum, time) => sum + time, 0) / sorted.length;
    return { p50: at(0.5), p95: at(0.95), p99: at(0.99), mean };
}
