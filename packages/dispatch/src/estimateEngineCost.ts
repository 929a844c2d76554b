import type { EngineView } from "./engineView.js";
import { estimateOutage } from "./estimateOutage.js";
import { decayHealth } from "./reduceHealth.js";

/** Parameters from which the cost of a service's request at an engine is computed. */
export interface CostScale {
    /** Usual time to the first byte on an idle engine, in milliseconds. */
    readonly idleFirstByteMs: number;
    /** Time that a failed exchange costs a client, in milliseconds. */
    readonly failureMs: number;
    /** Delay that each running request adds to the next, in milliseconds. */
    readonly delayPerRequestMs: number;
}

/**
 * Estimates how long a request would wait for its first byte at an engine, including the cost of likely failures.
 *
 * @param view - Load, queue and health of the engine
 * @param scale - Cost parameters of the service
 * @param atMs - Current time, in milliseconds
 * @returns the cost in milliseconds
 *
 * @example
 * const costMs = estimateEngineCost(view, scale, clock.nowMs());
 */
export function estimateEngineCost(view: EngineView, scale: CostScale, atMs: number): number {
    const health = decayHealth(view.health, atMs);
    const usualMs = health.firstByteMs ?? scale.idleFirstByteMs;
    const queued = Math.max(0, view.load + 1 - view.slots);
    return estimateOutage(view, atMs)
        + Math.max(0, usualMs - scale.idleFirstByteMs) * SLOWNESS_WEIGHT
        + view.load * scale.delayPerRequestMs
        + view.queuedTokens / TOKENS_PER_MS
        + queued / Math.max(1, view.slots) * usualMs
        + health.failureShare * scale.failureMs;
}

/** Prompt tokens that an engine processes per millisecond; the deployments state 40.8. */
const TOKENS_PER_MS = 40.8;
/** Part of the engine's excess time to the first byte that counts as cost; the rest comes from its load. */
const SLOWNESS_WEIGHT = 0.5;
