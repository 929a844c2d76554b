import type { EngineState } from "./engineState.js";
import { isFormerHarmless } from "./isFormerHarmless.js";
import { parseInstanceName } from "./parseInstanceName.js";

/**
 * Takes over the instances of earlier owners once no order of theirs can take effect.
 *
 * @param state - The engine
 * @param nowMs - The present, in milliseconds
 * @returns the next state
 *
 * @example
 * const next = adoptInstances(state, context.nowMs);
 */
export function adoptInstances(state: EngineState, nowMs: number): EngineState {
    if (state.phase !== "owned" || !isFormerHarmless(state)) {
        return state;
    }
    const isAdoptable = (name: EngineState["instances"][number]): boolean =>
        name.status === "foreign" && (parseInstanceName(name.instance)?.fence ?? Infinity) < state.fence;
    if (!state.instances.some(isAdoptable)) {
        return state;
    }
    const instances = state.instances.map(
        instance => (isAdoptable(instance) ? { ...instance, status: "ready" as const, sinceMs: nowMs } : instance),
    );
    return { ...state, instances };
}
