import { countPins } from "./countPins.js";
import type { EngineState, Instance } from "./engineState.js";
import { isTakeoverComplete } from "./isTakeoverComplete.js";
import { parseInstanceName } from "./parseInstanceName.js";

/**
 * Tells whether an instance can be evicted without interrupting a request.
 *
 * An instance of an earlier owner is not evicted until every use of it is known, or until the longest
 * request that the earlier owner admitted must have ended.
 *
 * @param state - Current state of the engine
 * @param instance - One of the engine's instances
 * @param nowMs - Current time, in milliseconds
 * @returns whether it may be evicted
 *
 * @example
 * const candidates = state.instances.filter(instance => canEvict(state, instance, nowMs));
 */
export function canEvict(state: EngineState, instance: Instance, nowMs: number): boolean {
    if (countPins(state, instance) > 0) {
        return false;
    }
    switch (instance.status) {
        case "ready":
        case "foreign":
            return isOwnLoad(state, instance) || isTakeoverComplete(state, nowMs);
        case "loading":
        case "doubtful":
        case "unloading":
            return false;
    }
}

function isOwnLoad(state: EngineState, instance: Instance): boolean {
    return parseInstanceName(instance.instance)?.fence === state.fence;
}
