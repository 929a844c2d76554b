import { estimateClientPatience } from "./estimateClientPatience.js";

/** Part of the client's patience that an engine may be silent; the rest is left to the engine that takes over. */
const SILENT_PART = 0.5;

/**
 * Chooses how long an engine may be silent in a stream before another engine is asked to take over.
 *
 * @param goalMs - Time within which the stream's first byte is on time, in milliseconds
 * @returns the time in milliseconds
 *
 * @example
 * chooseSilenceLimit(800); // 1600
 */
export function chooseSilenceLimit(goalMs: number): number {
    return estimateClientPatience(goalMs) * SILENT_PART;
}
