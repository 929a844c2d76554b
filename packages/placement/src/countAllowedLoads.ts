import type { LoadBudget, LoadShare } from "./loadBudget.js";

/**
 * Computes how many loads a host may start now.
 *
 * @param budget - Tokens and loads in transit of the host
 * @param share - Limits of the host at the weight store
 * @returns the number of loads, 0 or more
 *
 * @example
 * const loadsAllowed = countAllowedLoads(budget, share);
 */
export function countAllowedLoads(budget: LoadBudget, share: LoadShare): number {
    return Math.max(0, Math.min(Math.floor(budget.tokens), share.maxInTransit - budget.inTransit));
}
