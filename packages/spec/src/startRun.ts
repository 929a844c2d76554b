import { formatLoadedName } from "./formatLoadedName.js";
import type { ModelEngine, ModelPlace, OwnershipBounds } from "./ownershipModel.js";

/**
 * Starts a request on the engine.
 *
 * @param engine - State of the engine
 * @param place - Place of the request, with the instance to run on
 * @param bounds - Bounds of the exploration, which decide the names of loaded instances
 * @returns the engine with the run added, or undefined where the instance is not loaded
 *
 * @example
 * const engine = startRun(model.engine, place, bounds);
 */
export function startRun(engine: ModelEngine, place: ModelPlace, bounds: OwnershipBounds): ModelEngine | undefined {
    const instance = formatLoadedName(place.instance, bounds);
    return engine.loaded.includes(instance)
        ? { ...engine, runs: [...engine.runs, { place: place.place, instance }] }
        : undefined;
}
