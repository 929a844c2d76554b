import type { Clock, EngineId } from "@fulmarcleat/ids";
import { adaptPace, countAllowedLoads, INITIAL_PACE, refillBudget, reserveLoads } from "@fulmarcleat/placement";
import type { LoadBudget, LoadDemand, LoadShare } from "@fulmarcleat/placement";
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
    const demands = new Map<EngineId, LoadDemand<EngineId>>();
    let budget: LoadBudget = { tokens: 1, atMs: clock.nowMs(), inTransit: 0 };
    let pace = INITIAL_PACE;
    const readPaced = (): LoadShare => {
        const share = readShare();
        return { ...share, loadsPerSecond: share.loadsPerSecond * Math.min(pace.factor, share.maxFactor) };
    };
    return {
        allowed(engine, readRank) {
            const share = readPaced();
            budget = refillBudget(budget, share, clock.nowMs());
            const rank = readRank();
            if (rank === undefined) {
                demands.delete(engine);
                return 0;
            }
            const own: LoadDemand<EngineId> = { engine, rank, atMs: clock.nowMs() };
            demands.set(engine, own);
            return reserveLoads(countAllowedLoads(budget, share), own, [...demands.values()]);
        },
        get loadsPerSecond() {
            return readPaced().loadsPerSecond;
        },
        started() {
            budget = { ...budget, tokens: budget.tokens - 1, inTransit: budget.inTransit + 1 };
        },
        ended(loadMs) {
            budget = { ...budget, inTransit: budget.inTransit - 1 };
            pace = adaptPace(pace, loadMs, readShare().maxFactor);
        },
    };
}
