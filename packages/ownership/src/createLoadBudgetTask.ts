import type { Clock } from "@fulmarcleat/ids";
import { countAllowedLoads, refillBudget } from "@fulmarcleat/placement";
import type { LoadBudget, LoadShare } from "@fulmarcleat/placement";
import type { LoadBudgetTask } from "./loadBudgetTask.js";

/**
 * Creates the budget of loads that one host may start.
 *
 * @param clock - Source of time
 * @param readShare - Gives the host's present share of the weight store
 * @returns the budget
 *
 * @example
 * const budget = createLoadBudgetTask(clock, () => share);
 */
export function createLoadBudgetTask(clock: Clock, readShare: () => LoadShare): LoadBudgetTask {
    let budget: LoadBudget = { tokens: 1, atMs: clock.nowMs(), inTransit: 0 };
    return {
        allowed() {
            budget = refillBudget(budget, readShare(), clock.nowMs());
            return countAllowedLoads(budget, readShare());
        },
        started() {
            budget = { ...budget, tokens: budget.tokens - 1, inTransit: budget.inTransit + 1 };
        },
        ended() {
            budget = { ...budget, inTransit: budget.inTransit - 1 };
        },
    };
}
