import { brandId } from "@fulmarcleat/ids";
import type { InstanceName } from "@fulmarcleat/ids";
import type { InstanceParts } from "./instanceName.js";

/**
 * Makes the name under which an engine holds one load of an adapter.
 *
 * @param parts - Adapter, version, fence and load
 * @returns a name that no other load has
 *
 * @example
 * formatInstanceName({ adapter, version, fence: 3, load: 1 }); // "levy@7#3.1"
 */
export function formatInstanceName(parts: InstanceParts): InstanceName {
    return brandId<InstanceName>(`${parts.adapter}@${parts.version}#${parts.fence}.${parts.load}`);
}
