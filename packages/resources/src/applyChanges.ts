import { choosePage } from "./choosePage.js";
import type { ConfigChange, ConfigOp } from "./configChange.js";
import type { ConfigSnapshot, ResourceTable } from "./configSnapshot.js";
import type { Resource, ResourceKind, ResourceRef } from "./schemas.js";

/**
 * Applies changes in order. Changes that the snapshot already includes are skipped.
 *
 * @param snapshot - Snapshot to start from; not modified
 * @param changes - Changes in ascending order of `seq`
 * @returns a new snapshot that shares unchanged pages, or `snapshot` itself if every change was skipped
 * @throws RangeError if a change is missing in the sequence
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
            return replaceResource(tables, { kind: op.resource.kind, name: op.resource.metadata.name }, op.resource);
        case "delete":
            return replaceResource(tables, op.ref, undefined);
    }
}

function replaceResource(
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
