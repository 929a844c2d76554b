import type { EngineId } from "@fulmarcleat/ids";

/** Budget of the loads that one host may start, over all engines that it owns. */
export interface LoadBudgetTask {
    /** Returns how many loads an engine may start now; `readRank` returns the urgency of its next load, if any. */
    countAllowed(engine: EngineId, readRank: () => number | undefined): number;
    /** Sustained rate at which loads may start, per second. */
    readonly loadsPerSecond: number;
    /** Removes one load from the budget. */
    recordLoadStart(): void;
    /** Ends one load and adapts the rate to its duration, in milliseconds. */
    recordLoadEnd(loadMs: number): void;
}
