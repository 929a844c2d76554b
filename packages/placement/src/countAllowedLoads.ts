import type { LoadBudget, LoadShare } from "./loadBudget.js";

/**
 * Counts how many loads may start now.
 *
 * @param budget - The host's budget
 * @param share - The host's share of the weight store
 * @returns a whole number of loads
 *
 * @example
 * const loadsAllowed = countAllowedLoads(budget, share);
 */
export function countAllowedLoads(budget: LoadBudget, share: LoadShare): number {
    return Math.max(0, Math.min(Math.floor(budget.tokens), share.maxInTransit - budget.inTransit));
}
