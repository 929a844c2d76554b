import type { EngineStep } from "./engineEffect.js";
import type { EngineContext } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";

/**
 * Repeats the unload orders that got no answer and whose retry time has come.
 *
 * @param state - Current state of the engine
 * @param context - Time at which the message is handled
 * @returns the next state and the orders
 *
 * @example
 * const step = retryUnloads(state, context);
 */
export function retryUnloads(state: EngineState, { nowMs }: EngineContext): EngineStep {
    const due = state.instances.filter(instance =>
        instance.status === "unloading" && instance.retryAtMs !== undefined && instance.retryAtMs <= nowMs
    );
    if (due.length === 0 || state.phase === "unowned") {
        return { state, effects: [] };
    }
    const instances = state.instances.map(
        instance => (due.includes(instance) ? { ...instance, retryAtMs: undefined } : instance),
    );
    return {
        state: { ...state, instances },
        effects: due.map(({ instance }) => ({ kind: "unload", instance, fence: state.fence })),
    };
}
