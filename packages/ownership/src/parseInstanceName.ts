import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion, InstanceName } from "@fulmarcleat/ids";
import type { InstanceParts } from "./instanceName.js";

const PATTERN = /^([^@#]+)@([^@#]+)#(\d+)\.(\d+)$/;

/**
 * Reads the parts of an instance's name.
 *
 * @param instance - The name
 * @returns its parts, or undefined where the name is not one of this system's
 *
 * @example
 * parseInstanceName(brandId("levy@7#3.1"))?.fence; // 3
 */
export function parseInstanceName(instance: InstanceName): InstanceParts | undefined {
    const match = PATTERN.exec(instance);
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
