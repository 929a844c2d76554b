import type { ConfigSnapshot } from "./configSnapshot.js";
import type { ResourceKind, ResourceOf } from "./schemas.js";

/**
 * Finds the resources of one kind that match, without sorting them.
 *
 * @param snapshot - The snapshot
 * @param kind - Kind of the resources
 * @param matches - Whether a resource is wanted
 * @returns the resources, in no stated order
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
