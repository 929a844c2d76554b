import type { EngineState, Instance } from "./engineState.js";

/**
 * Counts what holds an instance: places, requests that may still run, and runs in the engine's
 * report that no place explains.
 *
 * @param state - The engine
 * @param instance - One of its instances
 * @returns how many things hold it; it may be evicted at 0 only
 *
 * @example
 * const isIdle = countPins(state, instance) === 0;
 */
export function countPins(state: EngineState, instance: Instance): number {
    const places = state.places.filter(place => place.instance === instance.instance);
    const strays = state.strays.filter(stray => stray.instance === instance.instance).length;
    const explaining = places.filter(place => place.grantedMs <= (instance.reportedMs ?? place.grantedMs)).length;
    const unexplained = Math.max(0, instance.reportedRunning - explaining - instance.endedSinceReport);
    return places.length + strays + unexplained;
}
