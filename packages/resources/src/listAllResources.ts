import type { ConfigSnapshot } from "./configSnapshot.js";
import type { Resource } from "./schemas.js";

/**
 * Lists every resource of a snapshot.
 *
 * @param snapshot - Snapshot to read
 * @returns the resources, in unspecified order
 *
 * @example
 * const { length } = listAllResources(snapshot);
 */
export function listAllResources(snapshot: ConfigSnapshot): readonly Resource[] {
    return [...snapshot.tables.values()].flatMap(table => [...table.values()].flatMap(page => [...page.values()]));
}
