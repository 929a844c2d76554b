import type { ConfigSnapshot } from "./configSnapshot.js";
import type { ResourceKind, ResourceOf } from "./schemas.js";

/**
 * Lists the resources of one kind, sorted by name.
 *
 * @param snapshot - Snapshot to read
 * @param kind - Resource kind, such as `Offer`
 * @returns the resources, in ascending order of name
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
