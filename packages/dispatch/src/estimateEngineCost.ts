import type { EngineView } from "./engineView.js";
import { estimateOutage } from "./estimateOutage.js";
import { fadeHealth } from "./reduceHealth.js";

/** What kinds of work cost on an engine. */
export interface CostScale {
    /** Usual time to the first byte on an idle engine, in milliseconds. */
    readonly idleFirstByteMs: number;
    /** Time that a failed exchange costs a client, in milliseconds. */
    readonly failureMs: number;
    /** Time that a request of one slot's work delays the next, in milliseconds. */
    readonly delayPerRequestMs: number;
}

/**
 * Estimates how long a request would wait for its first byte at an engine.
 *
 * @param view - The engine
 * @param scale - What the service's work costs
 * @param atMs - Time now, in milliseconds
 * @returns milliseconds, failures weighed in
 *
 * @example
 * const costMs = estimateEngineCost(view, scale, clock.nowMs());
 */
export function estimateEngineCost(view: EngineView, scale: CostScale, atMs: number): number {
    const health = fadeHealth(view.health, atMs);
    const usualMs = health.firstByteMs ?? scale.idleFirstByteMs;
    const queued = Math.max(0, view.load + 1 - view.slots);
    return estimateOutage(view, atMs)
        + Math.max(0, usualMs - scale.idleFirstByteMs) * SLOWNESS_WEIGHT
        + view.load * scale.delayPerRequestMs
        + view.queuedTokens / TOKENS_PER_MS
        + queued / Math.max(1, view.slots) * usualMs
        + health.failureShare * scale.failureMs;
}

/** Prompt tokens that an engine reads in a millisecond; the deployments state 40.8. */
const TOKENS_PER_MS = 40.8;
/** Part of an engine's excess time to the first byte that is held against it; the rest comes from its load. */
const SLOWNESS_WEIGHT = 0.5;
