import type { EngineId } from "@fulmarcleat/ids";

/** The loads that one host may start, over all engines that it owns. */
export interface LoadBudgetTask {
    /** How many loads an engine may start now; `readRank` gives how urgently it wants one, if at all. */
    allowed(engine: EngineId, readRank: () => number | undefined): number;
    /** Loads that may start a second, over time. */
    readonly loadsPerSecond: number;
    started(): void;
    /** Takes in how long a load took, in milliseconds. */
    ended(loadMs: number): void;
}
