import type { EngineId } from "@fulmarcleat/ids";

/** Inputs to the choice of an engine, for one candidate. */
export interface EngineCandidate {
    readonly engine: EngineId;
    /** Batch slots that this host holds or waits for on the engine. */
    readonly outstanding: number;
    /** Whether the engine's owner recently reported that the engine serves the adapter. */
    readonly isReplica: boolean;
    /** Whether the request failed there before. */
    readonly isAvoided: boolean;
    /** Whether the engine is in a failure domain where the request failed before. */
    readonly isFailedDomain: boolean;
}

/**
 * Chooses the engine for a request: the least used of the adapter's replicas, otherwise the first candidate.
 *
 * @param candidates - Engines that accept requests, in the adapter's preferred order
 * @returns the engine, or undefined if there are no candidates
 *
 * @example
 * const engine = chooseEngine(candidates);
 */
export function chooseEngine(candidates: readonly EngineCandidate[]): EngineId | undefined {
    const notAvoided = candidates.filter(candidate => !candidate.isAvoided);
    const usable = notAvoided.length > 0 ? notAvoided : candidates;
    const inOtherDomains = usable.filter(candidate => !candidate.isFailedDomain);
    const preferred = inOtherDomains.length > 0 ? inOtherDomains : usable;
    const replicas = preferred.filter(candidate => candidate.isReplica);
    const [first] = replicas.length > 0
        ? [...replicas].sort((a, b) => a.outstanding - b.outstanding)
        : preferred;
    return first?.engine;
}
