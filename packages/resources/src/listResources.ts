import type { ConfigSnapshot } from "./configSnapshot.js";
import type { ResourceKind, ResourceOf } from "./schemas.js";

/**
 * Lists the resources of one kind, by name.
 *
 * @param snapshot - The snapshot
 * @param kind - Kind of the resources
 * @returns the resources in the order of their names
 *
 * @example
 * listResources(snapshot, "Upstream").flatMap(upstream => upstream.spec.engines);
 */
export function listResources<Kind extends ResourceKind>(
    snapshot: ConfigSnapshot,
    kind: Kind,
): readonly ResourceOf<Kind>[] {
    const found: ResourceOf<Kind>[] = [];
    snapshot.tables.get(kind)?.forEach(page => found.push(...page.values() as Iterable<ResourceOf<Kind>>));
    return found.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
}
