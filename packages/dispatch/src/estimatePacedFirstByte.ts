import type { EnginePace, ModelEngineView } from "./engineView.js";
import { estimateOutage } from "./estimateOutage.js";
import { decayHealth } from "./reduceHealth.js";

/** Time that a failed exchange costs a client, in milliseconds. */
const FAILURE_MS = 1500;
/** Delay that each running request adds to the next at an engine of usual speed, in milliseconds. */
const DELAY_PER_REQUEST_MS = 3;
/** Expected time until a slot is free at an engine that is full, for each request before, in milliseconds. */
const SLOT_WAIT_MS = 60;

/**
 * Estimates the time to a generation's first byte at an engine whose speed is known, without its adapter's load.
 *
 * @param view - Load, queue, health and work of the request at the engine
 * @param pace - Speed of the engine
 * @param atMs - Current time, in milliseconds
 * @returns the time in milliseconds, including the cost of likely failures
 *
 * @example
 * const firstByteMs = estimatePacedFirstByte(view, view.pace, clock.nowMs());
 */
export function estimatePacedFirstByte(view: ModelEngineView, pace: EnginePace, atMs: number): number {
    const tokensPerMs = pace.promptTokensPerMs / pace.slowdown;
    const excess = Math.max(0, view.load + 1 - view.slots);
    return estimateOutage(view, atMs)
        + pace.idleFirstByteMs * pace.slowdown
        + (view.queuedTokens + (view.work?.promptTokens ?? 0)) / tokensPerMs
        + view.load * DELAY_PER_REQUEST_MS * pace.slowdown
        + excess * SLOT_WAIT_MS
        + decayHealth(view.health, atMs).failureShare * FAILURE_MS;
}
