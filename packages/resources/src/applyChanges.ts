import { choosePage } from "./choosePage.js";
import type { ConfigChange, ConfigOp } from "./configChange.js";
import type { ConfigSnapshot, ResourceTable } from "./configSnapshot.js";
import type { Resource, ResourceKind, ResourceRef } from "./schemas.js";

/**
 * Applies changes in order; changes that the snapshot already holds are passed over.
 *
 * @param snapshot - The snapshot to start from
 * @param changes - Changes in rising order of `seq`
 * @returns a new snapshot that shares what is the same, or the same one where nothing is new
 * @throws RangeError where a change is missing between the snapshot and the changes
 *
 * @example
 * const next = applyChanges(snapshot, log.changes);
 */
export function applyChanges(snapshot: ConfigSnapshot, changes: readonly ConfigChange[]): ConfigSnapshot {
    let next = snapshot;
    for (const change of changes) {
        if (change.seq <= next.seq) {
            continue;
        }
        if (change.seq !== next.seq + 1) {
            throw new RangeError(`change ${next.seq + 1} is missing before ${change.seq}`);
        }
        next = { seq: change.seq, tables: applyOp(next.tables, change.op) };
    }
    return next;
}

function applyOp(tables: ConfigSnapshot["tables"], op: ConfigOp): ConfigSnapshot["tables"] {
    switch (op.kind) {
        case "put":
            return replaceOne(tables, { kind: op.resource.kind, name: op.resource.metadata.name }, op.resource);
        case "delete":
            return replaceOne(tables, op.ref, undefined);
    }
}

function replaceOne(
    tables: ConfigSnapshot["tables"],
    ref: ResourceRef,
    resource: Resource | undefined,
): ConfigSnapshot["tables"] {
    const table: ResourceTable = tables.get(ref.kind) ?? new Map();
    const number = choosePage(ref.name);
    const page = new Map(table.get(number));
    if (resource === undefined) {
        page.delete(ref.name);
    }
    else {
        page.set(ref.name, resource);
    }
    return new Map<ResourceKind, ResourceTable>(tables).set(ref.kind, new Map(table).set(number, page));
}
