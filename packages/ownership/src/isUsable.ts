import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";
import type { Instance } from "./engineState.js";

/**
 * Tells whether an instance may serve requests for an adapter version.
 *
 * @param instance - One of the engine's instances
 * @param model - Requested adapter and version
 * @returns whether it is ready and is exactly that adapter and version
 *
 * @example
 * const serving = state.instances.find(instance => isUsable(instance, waiting));
 */
export function isUsable(
    instance: Instance,
    model: { readonly adapter: AdapterName; readonly version: AdapterVersion },
): boolean {
    return instance.status === "ready" && instance.adapter === model.adapter && instance.version === model.version;
}
