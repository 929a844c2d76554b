/** What the number of replicas depends on. */
export interface ReplicaState {
    /** Engines that may take work. */
    readonly engines: number;
    /** Replicas at present. */
    readonly replicas: number;
    /** Requests a second for the adapter on this engine, decayed. */
    readonly ratePerSecond: number;
    /** Rate that one replica is meant to carry. */
    readonly replicaRate: number;
}

/** Share of the present replicas' capacity below which one is given up. */
const SHRINK_SHARE = 0.6;

/**
 * Counts the engines that should hold an adapter, growing at once and shrinking with hysteresis.
 *
 * @param state - Rate and present replicas
 * @returns at least 1 and at most the number of engines
 *
 * @example
 * const wanted = countReplicas({ engines: 6, replicas: 1, ratePerSecond: 9, replicaRate: 4 });
 */
export function countReplicas(state: ReplicaState): number {
    const total = state.ratePerSecond * state.replicas;
    const grown = Math.ceil(total / state.replicaRate);
    const isShrinking = grown < state.replicas
        && total > (state.replicas - 1) * state.replicaRate * SHRINK_SHARE;
    const wanted = isShrinking ? state.replicas : Math.max(grown, state.replicas > grown ? state.replicas - 1 : grown);
    return Math.max(1, Math.min(state.engines, wanted));
}
