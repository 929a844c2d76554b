import type { Clock, EngineId } from "@fulmarcleat/ids";
import {
    adaptLoadRate,
    countAllowedLoads,
    INITIAL_LOAD_RATE_FACTOR,
    refillBudget,
    reserveLoads,
} from "@fulmarcleat/placement";
import type { LoadBudget, LoadDemand, LoadShare } from "@fulmarcleat/placement";
import type { LoadBudgetTask } from "./loadBudgetTask.js";

/**
 * Creates the budget that limits the loads that one host starts.
 *
 * The rate adapts to how long loads take.
 *
 * @param clock - Clock that refills the budget
 * @param readShare - Returns the host's current share of the weight store's load rate
 * @returns the budget
 *
 * @example
 * const budget = createLoadBudgetTask(clock, () => share);
 */
export function createLoadBudgetTask(clock: Clock, readShare: () => LoadShare): LoadBudgetTask {
    const demands = new Map<EngineId, LoadDemand<EngineId>>();
    let budget: LoadBudget = { tokens: 1, atMs: clock.nowMs(), inTransit: 0 };
    let rateFactor = INITIAL_LOAD_RATE_FACTOR;
    const readAdaptedShare = (): LoadShare => {
        const share = readShare();
        return { ...share, loadsPerSecond: share.loadsPerSecond * Math.min(rateFactor.factor, share.maxFactor) };
    };
    return {
        countAllowed(engine, readRank) {
            const share = readAdaptedShare();
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
            return readAdaptedShare().loadsPerSecond;
        },
        recordLoadStart() {
            budget = { ...budget, tokens: budget.tokens - 1, inTransit: budget.inTransit + 1 };
        },
        recordLoadEnd(loadMs) {
            budget = { ...budget, inTransit: budget.inTransit - 1 };
            rateFactor = adaptLoadRate(rateFactor, loadMs, readShare().maxFactor);
        },
    };
}
