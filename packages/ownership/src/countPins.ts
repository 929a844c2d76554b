import type { EngineState, Instance } from "./engineState.js";

/**
 * Counts the uses that keep an instance from being evicted: places, requests that may still run, and
 * runs in the engine's report that belong to no known place.
 *
 * @param state - Current state of the engine
 * @param instance - One of the engine's instances
 * @returns the number of uses; the instance may be evicted at 0 only
 *
 * @example
 * const isIdle = countPins(state, instance) === 0;
 */
export function countPins(state: EngineState, instance: Instance): number {
    const places = state.places.filter(place => place.instance === instance.instance);
    const untrackedRuns = state.untrackedRuns.filter(run => run.instance === instance.instance).length;
    const tracked = places.filter(place => place.grantedMs <= (instance.reportedMs ?? place.grantedMs)).length;
    const untracked = Math.max(0, instance.reportedRunning - tracked - instance.endedSinceReport);
    return places.length + untrackedRuns + untracked;
}
