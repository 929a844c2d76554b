import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion, InstanceName } from "@fulmarcleat/ids";
import type { InstanceParts } from "./instanceName.js";

/** Adapter, version, fence and number of the load, as in `levy@7#3.1`. */
const INSTANCE_NAME_PATTERN = /^([^@#]+)@([^@#]+)#(\d+)\.(\d+)$/;

/**
 * Parses an instance name into its parts.
 *
 * @param instance - Name that the engine reports
 * @returns the parts, or undefined if the name does not follow this system's format
 *
 * @example
 * parseInstanceName(brandId("levy@7#3.1"))?.fence; // 3
 */
export function parseInstanceName(instance: InstanceName): InstanceParts | undefined {
    const match = INSTANCE_NAME_PATTERN.exec(instance);
    if (match === null) {
        return undefined;
    }
    return {
        adapter: brandId<AdapterName>(match[1] ?? ""),
        version: brandId<AdapterVersion>(match[2] ?? ""),
        fence: Number(match[3]),
        load: Number(match[4]),
    };
}
