import type { EngineId } from "@fulmarcleat/ids";
import type { EngineLimits, EngineState } from "./engineState.js";

/**
 * Creates the state of an engine that this host does not own.
 *
 * @param engine - Id of the engine
 * @param limits - Limits that the configuration sets for the engine
 * @returns the state, in phase `unowned`
 *
 * @example
 * let state = createEngineState(engine, limits);
 */
export function createEngineState(engine: EngineId, limits: EngineLimits): EngineState {
    return {
        engine,
        phase: "unowned",
        fence: 0,
        lastLoad: 0,
        engineIncarnation: undefined,
        limits,
        instances: [],
        places: [],
        waiting: [],
        backoffs: [],
        takeover: undefined,
        incarnationMs: 0,
        isFenceConfirmed: false,
        untrackedRuns: [],
    };
}
