import type { Sample, SampleWindow } from "./sampleWindow.js";

/** Longest duration that is taken as a sample, in milliseconds; longer ones come from stopped or suspended processes. */
const MAX_SAMPLE_MS = 60_000;

/**
 * Adds a sample to a window. Numbers that are not finite, negative or too large leave the window as it is, since they
 * may come from another host.
 *
 * @param window - The samples so far
 * @param sample - The new sample
 * @param capacity - Most samples that are kept
 * @returns the window with the sample, without the oldest ones above the capacity
 *
 * @example
 * const next = addSample(window, { ms: 120, tokens: 2048, atMs: 500 }, 32);
 */
export function addSample(window: SampleWindow, sample: Sample, capacity: number): SampleWindow {
    const { ms, tokens } = sample;
    return Number.isFinite(ms) && ms >= 0 && ms <= MAX_SAMPLE_MS && Number.isFinite(tokens) && tokens >= 0
        ? [...window, sample].slice(-capacity)
        : window;
}
