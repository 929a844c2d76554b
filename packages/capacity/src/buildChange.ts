import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";

/**
 * Makes one accepted change of a resource.
 *
 * @param seq - Number of the change
 * @param resource - The resource as it is put
 * @returns the change
 *
 * @example
 * const change = buildChange(1, resource);
 */
export function buildChange(seq: number, resource: Resource): ConfigChange {
    return {
        seq,
        changeId: brandId<ChangeId>(`change-${seq}`),
        by: brandId<OperatorName>("operator"),
        atMs: 0,
        op: { kind: "put", resource },
    };
}
