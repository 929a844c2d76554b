import type { EngineState } from "./engineState.js";

/**
 * Tells whether every use of instances from earlier owners is known: as a place, or as a run in the engine's report.
 *
 * @param state - The engine
 * @param nowMs - The present, in milliseconds
 * @returns whether an instance of an earlier owner that nothing holds may be evicted
 *
 * @example
 * const mayEvict = isInheritanceSettled(state, nowMs) && countPins(state, instance) === 0;
 */
export function isInheritanceSettled(state: EngineState, nowMs: number): boolean {
    const { inheritance } = state;
    if (inheritance === undefined || nowMs >= inheritance.safeAtMs) {
        return true;
    }
    const isStarted = nowMs >= inheritance.startedByMs;
    switch (inheritance.former) {
        case "none":
        case "gone":
            return isStarted;
        case "released":
            return isStarted || inheritance.unansweredHosts.length === 0;
        case "lapsed":
            return isStarted && inheritance.formerHost !== undefined
                && !inheritance.unansweredHosts.includes(inheritance.formerHost);
    }
}
