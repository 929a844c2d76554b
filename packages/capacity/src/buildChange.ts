import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";

/**
 * Builds one accepted configuration change that puts a resource.
 *
 * @param seq - Sequence number of the change
 * @param resource - Resource that the change puts
 * @returns the change, as the configuration log stores it
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
