import type { EngineState, Instance } from "./engineState.js";

/**
 * Puts a changed instance in the place of the one with its name.
 *
 * @param state - The engine
 * @param changed - The instance
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
