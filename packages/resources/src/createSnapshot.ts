import { choosePage } from "./choosePage.js";
import type { ConfigSnapshot } from "./configSnapshot.js";
import type { Resource, ResourceKind } from "./schemas.js";

/**
 * Creates a snapshot from a list of resources.
 *
 * @param seq - Sequence number of the last change that the resources include
 * @param resources - Every resource, in any order
 * @returns a snapshot with the resources by kind, page and name
 *
 * @example
 * const snapshot = createSnapshot(reply.seq, reply.resources);
 */
export function createSnapshot(seq: number, resources: Iterable<Resource>): ConfigSnapshot {
    const tables = new Map<ResourceKind, Map<number, Map<string, Resource>>>();
    for (const resource of resources) {
        const table = getOrCreate(tables, resource.kind, () => new Map<number, Map<string, Resource>>());
        const page = getOrCreate(table, choosePage(resource.metadata.name), () => new Map<string, Resource>());
        page.set(resource.metadata.name, resource);
    }
    return { seq, tables };
}

function getOrCreate<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
    const present = map.get(key) ?? create();
    map.set(key, present);
    return present;
}
