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
    const { takeover } = state;
    if (takeover === undefined || nowMs >= takeover.endedByMs) {
        return true;
    }
    const isStarted = nowMs >= takeover.startedByMs;
    switch (takeover.former) {
        case "none":
        case "gone":
            return isStarted;
        case "released":
            return isStarted || takeover.unansweredHosts.length === 0;
        case "lapsed":
            return isStarted && takeover.formerHost !== undefined
                && !takeover.unansweredHosts.includes(takeover.formerHost);
    }
}
