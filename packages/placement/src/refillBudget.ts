import type { LoadBudget, LoadShare } from "./loadBudget.js";

const MS_PER_SECOND = 1000;

/**
 * Adds the load starts that came due since the last refill.
 *
 * @param budget - The budget so far
 * @param share - The host's share of the weight store
 * @param nowMs - The present, in milliseconds
 * @returns the budget as of now
 *
 * @example
 * const budget = refillBudget(previous, share, clock.nowMs());
 */
export function refillBudget(budget: LoadBudget, share: LoadShare, nowMs: number): LoadBudget {
    const due = Math.max(0, nowMs - budget.atMs) / MS_PER_SECOND * share.loadsPerSecond;
    return { ...budget, tokens: Math.min(share.burst, budget.tokens + due), atMs: nowMs };
}
