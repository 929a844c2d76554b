import { ServeError } from "@fulmarcleat/errors";
import { createId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import type { ConfigChange, ConfigOp } from "@fulmarcleat/resources";
import { CONFIG_LOG_KEY, EMPTY_LOG } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { parseConfigLog } from "./parseConfigLog.js";

/** Builds the operation to append to the current log; throws ServeError to refuse the change. */
export type ChangeBuilder = (log: ConfigLog, seq: number) => ConfigOp;

/** Client, operator and time of a change. */
export interface CommitOptions {
    readonly kv: KvClient;
    readonly by: OperatorName;
    /** Wall time to record for the change, in milliseconds. */
    readonly wallMs: number;
}

/** Limit on compare-and-swap attempts while other writers keep changing the log. */
const MAX_ATTEMPTS = 64;

/**
 * Commits one change. The change is accepted once the promise resolves.
 *
 * @param build - Builds the operation from the current log; called once per attempt
 * @param options - Key-value client, operator and wall time
 * @returns the accepted change
 * @throws ServeError `kv_unavailable` or `conflict` with outcome `not_run`, or `kv_unknown` with outcome `unknown`
 *
 * @example
 * const change = await commitChange(() => ({ kind: "put", resource }), { kv, by, wallMs });
 */
export async function commitChange(build: ChangeBuilder, options: CommitOptions): Promise<ConfigChange> {
    const changeId = createId<ChangeId>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const entry = await options.kv.read("config", CONFIG_LOG_KEY);
        const log = entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value);
        const seq = Math.max(log.baseSeq, log.changes.at(-1)?.seq ?? 0) + 1;
        const change: ConfigChange = {
            seq,
            changeId,
            by: options.by,
            atMs: options.wallMs,
            op: setResourceVersion(build(log, seq), seq),
        };
        const outcome = await options.kv.write({
            purpose: "config",
            key: CONFIG_LOG_KEY,
            expectedRevision: entry?.revision ?? 0,
            value: JSON.stringify({ ...log, changes: [...log.changes, change] }),
            isOwn: value => parseConfigLog(value).changes.some(present => present.changeId === changeId),
        });
        switch (outcome.kind) {
            case "applied":
                return change;
            case "refused":
                break;
            case "unavailable":
                throw new ServeError("the key-value service is unavailable; nothing was changed", {
                    ...ERROR_DETAILS,
                    code: "kv_unavailable",
                    outcome: "not_run",
                });
            case "unknown":
                throw new ServeError("the change may or may not have been accepted", {
                    ...ERROR_DETAILS,
                    code: "kv_unknown",
                    outcome: "unknown",
                });
        }
    }
    throw new ServeError("too many concurrent changes; nothing was changed", {
        ...ERROR_DETAILS,
        code: "conflict",
        outcome: "not_run",
    });
}

function setResourceVersion(op: ConfigOp, seq: number): ConfigOp {
    if (op.kind === "delete") {
        return op;
    }
    const metadata = { ...op.resource.metadata, resourceVersion: seq };
    return { kind: "put", resource: { ...op.resource, metadata } };
}

const ERROR_DETAILS = { step: "commit change", peer: "KV", retryAfterMs: 1000 } as const;
