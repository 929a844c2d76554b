import { nameOnDevice } from "./nameOnDevice.js";
import type { ModelDevice, ModelPlace, OwnershipBounds } from "./ownershipModel.js";

/**
 * Starts a request on the engine.
 *
 * @param device - The engine
 * @param place - The request's place
 * @param bounds - How the engine names its loads
 * @returns the engine after it, or undefined where the instance is not loaded
 *
 * @example
 * const device = startRun(model.device, place, bounds);
 */
export function startRun(device: ModelDevice, place: ModelPlace, bounds: OwnershipBounds): ModelDevice | undefined {
    const instance = nameOnDevice(place.instance, bounds);
    return device.loaded.includes(instance)
        ? { ...device, runs: [...device.runs, { place: place.place, instance }] }
        : undefined;
}
