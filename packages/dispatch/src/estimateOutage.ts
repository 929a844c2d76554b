import type { EngineView } from "./engineView.js";

/** Cost of sending to an unresponsive or blocked engine, in milliseconds; exceeds any other delay. */
const OUTAGE_MS = 20_000;

/**
 * Estimates the cost of sending a request to an engine that may be unresponsive or blocked.
 *
 * @param view - Responsiveness and health of the engine
 * @param atMs - Current time, in milliseconds
 * @returns the cost in milliseconds; 0 if the engine is available
 *
 * @example
 * const isUsable = estimateOutage(view, clock.nowMs()) === 0;
 */
export function estimateOutage(view: EngineView, atMs: number): number {
    return view.isUnresponsive || view.health.blockedUntilMs > atMs ? OUTAGE_MS : 0;
}
