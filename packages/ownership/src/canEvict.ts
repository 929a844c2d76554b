import { countPins } from "./countPins.js";
import type { EngineState, Instance } from "./engineState.js";

/**
 * Tells whether evicting an instance can cut off nobody.
 *
 * An instance of an earlier owner is left alone until every host has said what it holds, or until
 * the longest request of before has passed.
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
            return true;
        case "foreign":
            return isInheritanceSettled(state, nowMs);
        case "loading":
        case "doubtful":
        case "unloading":
            return false;
    }
}

function isInheritanceSettled(state: EngineState, nowMs: number): boolean {
    const { inheritance } = state;
    if (inheritance === undefined || nowMs >= inheritance.safeAtMs) {
        return true;
    }
    return inheritance.formerIsGone && inheritance.unansweredHosts.length === 0;
}
