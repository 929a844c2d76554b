import { brandId } from "@fulmarcleat/ids";
import type { InstanceName } from "@fulmarcleat/ids";
import type { InstanceParts } from "./instanceName.js";

/**
 * Formats the name under which an engine holds one load of an adapter version.
 *
 * @param parts - Adapter, version, fence of the loading owner and number of the load
 * @returns a name that is unique among all loads
 *
 * @example
 * formatInstanceName({ adapter, version, fence: 3, load: 1 }); // "levy@7#3.1"
 */
export function formatInstanceName(parts: InstanceParts): InstanceName {
    return brandId<InstanceName>(`${parts.adapter}@${parts.version}#${parts.fence}.${parts.load}`);
}
