import type { EngineState } from "./engineState.js";
import { isFormerOwnerFenced } from "./isFormerOwnerFenced.js";
import { parseInstanceName } from "./parseInstanceName.js";

/**
 * Marks the instances of earlier owners as ready once no order of those owners can still take effect.
 *
 * @param state - Current state of the engine
 * @param nowMs - Current time, in milliseconds
 * @returns the next state
 *
 * @example
 * const next = adoptInstances(state, context.nowMs);
 */
export function adoptInstances(state: EngineState, nowMs: number): EngineState {
    if (state.phase !== "owned" || !isFormerOwnerFenced(state)) {
        return state;
    }
    const isAdoptable = (instance: EngineState["instances"][number]): boolean =>
        instance.status === "foreign" && (parseInstanceName(instance.instance)?.fence ?? Infinity) < state.fence;
    if (!state.instances.some(isAdoptable)) {
        return state;
    }
    const instances = state.instances.map(
        instance => (isAdoptable(instance) ? { ...instance, status: "ready" as const, sinceMs: nowMs } : instance),
    );
    return { ...state, instances };
}
