/** Inputs to the number of replicas of an adapter. */
export interface ReplicaState {
    /** Number of engines that accept requests. */
    readonly engines: number;
    /** Current number of replicas. */
    readonly replicas: number;
    /** Requests per second for the adapter on this engine; decays over time. */
    readonly ratePerSecond: number;
    /** Requests per second that one replica should serve. */
    readonly replicaRate: number;
}

/** Share of the capacity with one replica less below which that replica is removed. */
const SHRINK_SHARE = 0.6;

/**
 * Computes how many engines should hold an adapter; grows at once and shrinks with hysteresis.
 *
 * @param state - Request rate, engines and current replicas
 * @returns the number of replicas, from 1 to the number of engines
 *
 * @example
 * const replicas = countReplicas({ engines: 6, replicas: 1, ratePerSecond: 9, replicaRate: 4 });
 */
export function countReplicas(state: ReplicaState): number {
    const total = state.ratePerSecond * state.replicas;
    const grown = Math.ceil(total / state.replicaRate);
    const isWithinHysteresis = grown < state.replicas
        && total > (state.replicas - 1) * state.replicaRate * SHRINK_SHARE;
    const target = isWithinHysteresis
        ? state.replicas
        : Math.max(grown, state.replicas > grown ? state.replicas - 1 : grown);
    return Math.max(1, Math.min(state.engines, target));
}
