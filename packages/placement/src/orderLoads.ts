/** An adapter that waits to be loaded. */
export interface LoadCandidate {
    readonly waitingUrgent: number;
    readonly waiting: number;
    readonly oldestMs: number;
    readonly rank: number;
}

/**
 * Orders adapters to load: by the most urgent class, then the number of waiting requests, then age.
 *
 * @param candidates - Adapters to load; `rank` is the aged class of the first waiting request
 * @returns the same adapters, the next to load first
 *
 * @example
 * const [next] = orderLoads(candidates);
 */
export function orderLoads<T extends LoadCandidate>(candidates: readonly T[]): readonly T[] {
    return [...candidates].sort((a, b) =>
        a.rank - b.rank || b.waitingUrgent - a.waitingUrgent || b.waiting - a.waiting || a.oldestMs - b.oldestMs
    );
}
