import { choosePage } from "./choosePage.js";
import type { ConfigSnapshot } from "./configSnapshot.js";
import type { ResourceKind, ResourceOf } from "./schemas.js";

/**
 * Looks up one resource in a snapshot.
 *
 * @param snapshot - Snapshot to read
 * @param kind - Kind of the resource
 * @param name - Name of the resource
 * @returns the resource, or undefined if there is none
 *
 * @example
 * readResource(snapshot, "Adapter", "levy")?.spec.baseModel;
 */
export function readResource<Kind extends ResourceKind>(
    snapshot: ConfigSnapshot,
    kind: Kind,
    name: string,
): ResourceOf<Kind> | undefined {
    return snapshot.tables.get(kind)?.get(choosePage(name))?.get(name) as ResourceOf<Kind> | undefined;
}
