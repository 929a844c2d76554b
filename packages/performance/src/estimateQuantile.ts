import type { Sample, SampleDecay, SampleWindow } from "./sampleWindow.js";

/** Which quantile of which values is estimated. */
export interface QuantileTerms {
    /** Share of the weight at or below the result, from 0 to 1. */
    readonly share: number;
    /** Value of a sample; undefined to leave it out. */
    readonly read: (sample: Sample) => number | undefined;
    /** Weight of a sample before it decays. */
    readonly weigh: (sample: Sample) => number;
    readonly decay: SampleDecay;
    readonly atMs: number;
}

/**
 * Estimates a quantile of the samples in a window. Recent samples have more weight; a quantile is used and no mean, since
 * no single sample can move it far.
 *
 * @param window - The samples
 * @param terms - Quantile, values, weights and decay
 * @returns the quantile; undefined without samples
 *
 * @example
 * const medianMs = estimateQuantile(window, { share: 0.5, read: ({ ms }) => ms, weigh: () => 1, decay, atMs });
 */
export function estimateQuantile(window: SampleWindow, terms: QuantileTerms): number | undefined {
    const { share, read, weigh, decay, atMs } = terms;
    const used = window.flatMap(sample => {
        const value = read(sample);
        return value === undefined ? [] : [{ value, sample }];
    });
    const weighted = used.map(({ value, sample }, index) => {
        const newer = used.length - 1 - index;
        const halvings = Math.min(newer / decay.halfLifeSamples, Math.max(0, atMs - sample.atMs) / decay.halfLifeMs);
        return { value, weight: weigh(sample) * 0.5 ** halvings };
    }).sort((first, second) => first.value - second.value);
    const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
    let reached = 0;
    for (const { value, weight } of weighted) {
        reached += weight;
        if (reached >= total * share) {
            return value;
        }
    }
    return weighted.at(-1)?.value;
}
