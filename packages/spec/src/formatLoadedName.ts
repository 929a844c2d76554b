import type { OwnershipBounds } from "./ownershipModel.js";

/**
 * Formats the name under which the engine loads an instance.
 *
 * @param instance - Name of the instance, with the owner's fencing token after `#`
 * @param bounds - Bounds of the exploration; one defect omits the fencing token from the name
 * @returns the name on the engine
 *
 * @example
 * const isLoaded = engine.loaded.includes(formatLoadedName(instance, bounds));
 */
export function formatLoadedName(instance: string, { defect }: OwnershipBounds): string {
    return defect === "names without the fence" ? instance.split("#")[0] ?? instance : instance;
}
