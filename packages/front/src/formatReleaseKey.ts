import type { AdapterName, BaseModel } from "@fulmarcleat/ids";

/**
 * Formats the name under which the newest version of an adapter is kept in memory.
 *
 * @param model - The adapter's base model
 * @param adapter - Name of the adapter
 * @returns the name
 *
 * @example
 * formatReleaseKey(brandId("base"), brandId("a3")); // "base/a3"
 */
export function formatReleaseKey(model: BaseModel, adapter: AdapterName): string {
    return `${model}/${adapter}`;
}
