import type { LoadBudget, LoadShare } from "./loadBudget.js";

const MS_PER_SECOND = 1000;

/**
 * Adds the tokens for load starts that accumulated since the last refill.
 *
 * @param budget - Budget at the last refill
 * @param share - Rate and burst of the host at the weight store
 * @param nowMs - Current time, in milliseconds
 * @returns the budget at the current time
 *
 * @example
 * const budget = refillBudget(previous, share, clock.nowMs());
 */
export function refillBudget(budget: LoadBudget, share: LoadShare, nowMs: number): LoadBudget {
    const accumulated = Math.max(0, nowMs - budget.atMs) / MS_PER_SECOND * share.loadsPerSecond;
    return { ...budget, tokens: Math.min(share.burst, budget.tokens + accumulated), atMs: nowMs };
}
