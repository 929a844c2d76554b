import { choosePage } from "./choosePage.js";
import type { ConfigSnapshot } from "./configSnapshot.js";
import type { Resource, ResourceKind } from "./schemas.js";

/**
 * Arranges resources as a snapshot.
 *
 * @param seq - Last change that the resources hold
 * @param resources - The resources
 * @returns the snapshot
 *
 * @example
 * const snapshot = createSnapshot(reply.seq, reply.resources);
 */
export function createSnapshot(seq: number, resources: Iterable<Resource>): ConfigSnapshot {
    const tables = new Map<ResourceKind, Map<number, Map<string, Resource>>>();
    for (const resource of resources) {
        const table = ensure(tables, resource.kind, () => new Map<number, Map<string, Resource>>());
        const page = ensure(table, choosePage(resource.metadata.name), () => new Map<string, Resource>());
        page.set(resource.metadata.name, resource);
    }
    return { seq, tables };
}

function ensure<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
    const present = map.get(key) ?? create();
    map.set(key, present);
    return present;
}
