import type { EngineState, Instance } from "./engineState.js";

/**
 * Replaces the instance that has the same name as a changed one.
 *
 * @param state - Current state of the engine
 * @param changed - The changed instance
 * @returns the next state
 *
 * @example
 * const next = replaceInstance(state, { ...instance, status: "ready" });
 */
export function replaceInstance(state: EngineState, changed: Instance): EngineState {
    return {
        ...state,
        instances: state.instances.map(instance => (instance.instance === changed.instance ? changed : instance)),
    };
}
