import type { ConfigSnapshot } from "./configSnapshot.js";
import type { ResourceKind, ResourceOf } from "./schemas.js";

/**
 * Finds the resources of one kind that match a predicate, without sorting them.
 *
 * @param snapshot - Snapshot to read
 * @param kind - Resource kind, such as `Offer`
 * @param matches - Returns whether to include a resource
 * @returns the matching resources, in unspecified order
 *
 * @example
 * filterResources(snapshot, "Offer", offer => offer.spec.adapter === adapter);
 */
export function filterResources<Kind extends ResourceKind>(
    snapshot: ConfigSnapshot,
    kind: Kind,
    matches: (resource: ResourceOf<Kind>) => boolean,
): readonly ResourceOf<Kind>[] {
    const found: ResourceOf<Kind>[] = [];
    for (const page of snapshot.tables.get(kind)?.values() ?? []) {
        for (const resource of page.values() as Iterable<ResourceOf<Kind>>) {
            if (matches(resource)) {
                found.push(resource);
            }
        }
    }
    return found;
}
