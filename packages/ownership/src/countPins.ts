import type { EngineState, Instance } from "./engineState.js";

/**
 * Counts what holds an instance: places, and runs in the engine's report that no place explains.
 *
 * @param state - The engine
 * @param instance - One of its instances
 * @returns how many things hold it; it may be evicted at 0 only
 *
 * @example
 * const isIdle = countPins(state, instance) === 0;
 */
export function countPins(state: EngineState, instance: Instance): number {
    const places = state.places.filter(place => place.instance === instance.instance).length;
    const unexplained = Math.max(0, instance.reportedRunning - places - instance.endedSinceReport);
    return places + unexplained;
}
