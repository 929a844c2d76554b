import type { EngineView } from "./engineView.js";

/** Time that sending to a silent or blocked engine is taken to cost, in milliseconds; more than any other delay. */
const OUTAGE_MS = 20_000;

/**
 * Estimates what an engine costs a request for being silent or out of reach.
 *
 * @param view - The engine
 * @param atMs - Time now, in milliseconds
 * @returns milliseconds; 0 where it can be used
 *
 * @example
 * const isUsable = estimateOutage(view, clock.nowMs()) === 0;
 */
export function estimateOutage(view: EngineView, atMs: number): number {
    return view.isSilent || view.health.blockedUntilMs > atMs ? OUTAGE_MS : 0;
}
