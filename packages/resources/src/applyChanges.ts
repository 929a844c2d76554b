import type { ConfigChange } from "./configChange.js";
import type { ConfigSnapshot } from "./configSnapshot.js";
import { formatResourceKey } from "./formatResourceKey.js";
import type { Resource } from "./schemas.js";

/**
 * Applies changes in order; changes that the snapshot already holds are passed over.
 *
 * @param snapshot - The snapshot to start from
 * @param changes - Changes in rising order of `seq`
 * @returns a new snapshot, or the same one where nothing is new
 * @throws RangeError where a change is missing between the snapshot and the changes
 *
 * @example
 * const next = applyChanges(snapshot, log.changes);
 */
export function applyChanges(snapshot: ConfigSnapshot, changes: readonly ConfigChange[]): ConfigSnapshot {
    const fresh = changes.filter(change => change.seq > snapshot.seq);
    if (fresh.length === 0) {
        return snapshot;
    }
    const resources = new Map(snapshot.resources);
    let seq = snapshot.seq;
    for (const change of fresh) {
        if (change.seq !== seq + 1) {
            throw new RangeError(`change ${seq + 1} is missing before ${change.seq}`);
        }
        seq = change.seq;
        applyOp(resources, change);
    }
    return { seq, resources };
}

function applyOp(resources: Map<string, Resource>, change: ConfigChange): void {
    switch (change.op.kind) {
        case "put":
            resources.set(
                formatResourceKey({ kind: change.op.resource.kind, name: change.op.resource.metadata.name }),
                change.op.resource,
            );
            return;
        case "delete":
            resources.delete(formatResourceKey(change.op.ref));
            return;
    }
}
