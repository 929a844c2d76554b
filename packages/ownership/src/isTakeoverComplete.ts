import type { EngineState } from "./engineState.js";

/**
 * Tells whether every use of the instances of earlier owners is known, as a place or as a run in the engine's report.
 *
 * @param state - Current state of the engine
 * @param nowMs - Current time, in milliseconds
 * @returns whether an instance of an earlier owner that has no pins may be evicted
 *
 * @example
 * const mayEvict = isTakeoverComplete(state, nowMs) && countPins(state, instance) === 0;
 */
export function isTakeoverComplete(state: EngineState, nowMs: number): boolean {
    const { inheritance } = state;
    if (inheritance === undefined || nowMs >= inheritance.endedByMs) {
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
