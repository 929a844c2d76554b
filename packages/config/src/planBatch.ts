import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { applyChanges, formatResourceKey } from "@fulmarcleat/resources";
import type { ConfigChange, ConfigOp, ConfigSnapshot } from "@fulmarcleat/resources";

/** Decides what to write on top of a snapshot; undefined where nothing is to change; throws ServeError to refuse. */
export type ChangeDecision = (snapshot: ConfigSnapshot, seq: number) => ConfigOp | undefined;

/** A change that waits to be written. */
export interface PendingChange {
    readonly changeId: ChangeId;
    readonly by: OperatorName;
    readonly decide: ChangeDecision;
}

/** What became of a pending change in a batch. */
export type PlannedChange<Pending extends PendingChange> =
    | { readonly kind: "write"; readonly pending: Pending; readonly change: ConfigChange }
    | { readonly kind: "unchanged"; readonly pending: Pending }
    | { readonly kind: "refused"; readonly pending: Pending; readonly err: ServeError };

const INTERNAL = { code: "internal", step: "decide change", peer: "self", outcome: "not_run" } as const;

/**
 * Decides on pending changes in order, each on top of those before it.
 *
 * @param snapshot - The configuration at the end of the log
 * @param pending - The changes
 * @param atMs - Wall time of the changes, in milliseconds
 * @returns what became of each
 *
 * @example
 * const planned = planBatch(snapshot, pending, clock.wallMs());
 */
export function planBatch<Pending extends PendingChange>(
    snapshot: ConfigSnapshot,
    pending: readonly Pending[],
    atMs: number,
): readonly PlannedChange<Pending>[] {
    let present = snapshot;
    return pending.map(item => {
        try {
            const seq = present.seq + 1;
            const op = item.decide(present, seq);
            if (op === undefined) {
                return { kind: "unchanged", pending: item };
            }
            const change: ConfigChange = { seq, changeId: item.changeId, by: item.by, atMs, op };
            assertSize(change);
            present = applyChanges(present, [change]);
            return { kind: "write", pending: item, change };
        }
        catch (err) {
            return { kind: "refused", pending: item, err: toServeError(err, INTERNAL) };
        }
    });
}

const MAX_CHANGE_BYTES = 64 * 1024;

function assertSize(change: ConfigChange): void {
    if (change.op.kind === "put" && JSON.stringify(change).length > MAX_CHANGE_BYTES) {
        const { kind, metadata } = change.op.resource;
        throw new ServeError(
            `${formatResourceKey({ kind, name: metadata.name })} is over ${MAX_CHANGE_BYTES} bytes; split it`,
            { code: "bad_request", step: "check size", peer: "operator", outcome: "not_run" },
        );
    }
}
