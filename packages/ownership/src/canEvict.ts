import { countPins } from "./countPins.js";
import type { EngineState, Instance } from "./engineState.js";
import { isInheritanceSettled } from "./isInheritanceSettled.js";
import { parseInstanceName } from "./parseInstanceName.js";

/**
 * Tells whether evicting an instance can cut off nobody.
 *
 * An instance of an earlier owner is left alone until every use of it is known, or until the longest
 * request of before has passed.
 *
 * @param state - The engine
 * @param instance - One of its instances
 * @param nowMs - The present, in milliseconds
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
            return isOwnLoad(state, instance) || isInheritanceSettled(state, nowMs);
        case "loading":
        case "doubtful":
        case "unloading":
            return false;
    }
}

function isOwnLoad(state: EngineState, instance: Instance): boolean {
    return parseInstanceName(instance.instance)?.fence === state.fence;
}
