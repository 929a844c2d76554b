import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { applyChanges, formatResourceKey } from "@fulmarcleat/resources";
import type { ConfigChange, ConfigOp, ConfigSnapshot } from "@fulmarcleat/resources";

/** Builds the operation to apply to a snapshot; undefined to change nothing; throws ServeError to refuse. */
export type ChangeDecision = (snapshot: ConfigSnapshot, seq: number) => ConfigOp | undefined;

/** A change that is not written yet. */
export interface PendingChange {
    readonly changeId: ChangeId;
    readonly by: OperatorName;
    readonly decide: ChangeDecision;
}

/** Result of planning one pending change. */
export type PlannedChange<Pending extends PendingChange> =
    | { readonly kind: "write"; readonly pending: Pending; readonly change: ConfigChange }
    | { readonly kind: "unchanged"; readonly pending: Pending }
    | { readonly kind: "refused"; readonly pending: Pending; readonly err: ServeError };

const INTERNAL_ERROR = { code: "internal", step: "decide change", peer: "self", outcome: "not_run" } as const;

/**
 * Plans pending changes in order, each against the configuration that the earlier ones produce.
 *
 * @param snapshot - Configuration at the end of the log
 * @param pending - Changes to plan, in order of arrival
 * @param atMs - Wall time to record for the changes, in milliseconds
 * @returns one result per pending change, in the same order
 *
 * @example
 * const planned = planBatch(snapshot, pending, clock.wallMs());
 */
export function planBatch<Pending extends PendingChange>(
    snapshot: ConfigSnapshot,
    pending: readonly Pending[],
    atMs: number,
): readonly PlannedChange<Pending>[] {
    let current = snapshot;
    return pending.map(item => {
        try {
            const seq = current.seq + 1;
            const op = item.decide(current, seq);
            if (op === undefined) {
                return { kind: "unchanged", pending: item };
            }
            const change: ConfigChange = { seq, changeId: item.changeId, by: item.by, atMs, op };
            assertSize(change);
            current = applyChanges(current, [change]);
            return { kind: "write", pending: item, change };
        }
        catch (err) {
            return { kind: "refused", pending: item, err: toServeError(err, INTERNAL_ERROR) };
        }
    });
}

/** Largest change that stores a resource, in UTF-16 code units of its JSON. */
const MAX_CHANGE_BYTES = 64 * 1024;

function assertSize(change: ConfigChange): void {
    if (change.op.kind === "put" && JSON.stringify(change).length > MAX_CHANGE_BYTES) {
        const { kind, metadata } = change.op.resource;
        throw new ServeError(
            `${
                formatResourceKey({ kind, name: metadata.name })
            } exceeds ${MAX_CHANGE_BYTES} bytes; split it into smaller resources`,
            { code: "bad_request", step: "check size", peer: "operator", outcome: "not_run" },
        );
    }
}
