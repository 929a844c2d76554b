/** The loads that one host may start, over all engines that it owns. */
export interface LoadBudgetTask {
    /** How many loads may start now. */
    allowed(): number;
    started(): void;
    ended(): void;
}
