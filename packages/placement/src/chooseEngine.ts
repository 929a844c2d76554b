import type { EngineId } from "@fulmarcleat/ids";

/** What the choice of an engine knows of one of them. */
export interface EngineCandidate {
    readonly engine: EngineId;
    /** Places that this host holds or waits for on the engine. */
    readonly outstanding: number;
    /** Whether the engine's owner lately named it as one that serves the adapter. */
    readonly isReplica: boolean;
    /** Whether the request failed there before. */
    readonly isAvoided: boolean;
    /** Whether it lies in a failure domain where the request failed before. */
    readonly isFailedDomain: boolean;
}

/**
 * Chooses the engine to ask: the least used of the adapter's replicas, else its home.
 *
 * @param candidates - Engines that may take work, in the order of the adapter's homes
 * @returns the engine, or undefined where there is none
 *
 * @example
 * const engine = chooseEngine(candidates);
 */
export function chooseEngine(candidates: readonly EngineCandidate[]): EngineId | undefined {
    const fresh = candidates.filter(candidate => !candidate.isAvoided);
    const usable = fresh.length > 0 ? fresh : candidates;
    const elsewhere = usable.filter(candidate => !candidate.isFailedDomain);
    const preferred = elsewhere.length > 0 ? elsewhere : usable;
    const replicas = preferred.filter(candidate => candidate.isReplica);
    const [first] = replicas.length > 0
        ? [...replicas].sort((a, b) => a.outstanding - b.outstanding)
        : preferred;
    return first?.engine;
}
