import type { OwnershipBounds } from "./ownershipModel.js";

/**
 * Gives the name under which the engine holds an instance.
 *
 * @param instance - The instance's name
 * @param bounds - Among them the defect that leaves out the fence
 * @returns the name on the engine
 *
 * @example
 * const isLoaded = device.loaded.includes(nameOnDevice(instance, bounds));
 */
export function nameOnDevice(instance: string, { defect }: OwnershipBounds): string {
    return defect === "names without the fence" ? instance.split("#")[0] ?? instance : instance;
}
