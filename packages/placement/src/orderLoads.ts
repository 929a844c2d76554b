/** An adapter that waits to be loaded. */
export interface LoadCandidate {
    readonly waitingUrgent: number;
    readonly waiting: number;
    readonly oldestMs: number;
    readonly rank: number;
}

/**
 * Orders adapters to load: the most urgent class first, then the number waiting, then age.
 *
 * @param candidates - Adapters that wait; `rank` is the aged class of the first who waits for it
 * @returns the same adapters, the first to load first
 *
 * @example
 * const [next] = orderLoads(candidates);
 */
export function orderLoads<T extends LoadCandidate>(candidates: readonly T[]): readonly T[] {
    return [...candidates].sort((a, b) =>
        a.rank - b.rank || b.waitingUrgent - a.waitingUrgent || b.waiting - a.waiting || a.oldestMs - b.oldestMs
    );
}
