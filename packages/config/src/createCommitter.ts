import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { createId, sleep } from "@fulmarcleat/ids";
import type { ChangeId, Clock, OperatorName } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import type { ConfigChange, ConfigSnapshot } from "@fulmarcleat/resources";
import { compactLog } from "./compactLog.js";
import { CONFIG_LOG_KEY, EMPTY_LOG } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { parseConfigLog } from "./parseConfigLog.js";
import { planBatch } from "./planBatch.js";
import type { ChangeDecision, PendingChange } from "./planBatch.js";
import { resolveAttempt } from "./resolveAttempt.js";

/** Dependencies and settings of a committer. */
export interface CommitterOptions {
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Applies a log to this host's configuration and resolves with the configuration at the log's end. */
    readonly applyLog: (log: ConfigLog) => Promise<ConfigSnapshot>;
    /** Size above which the log is compacted, in bytes. */
    readonly compactBytes: number;
    /** Least age at which a compaction removes a change from the log, in milliseconds. */
    readonly keepMs: number;
}

/** Commits changes in batches, one compare-and-swap per batch. */
export interface Committer {
    /**
     * Commits one change. The change is accepted once the promise resolves.
     *
     * Resolves with undefined if the decision was to change nothing. Rejects with the decision's ServeError, with
     * `kv_unavailable` and outcome `not_run`, or with `kv_unknown` if the write's outcome is unknown.
     */
    commit(by: OperatorName, decide: ChangeDecision): Promise<ConfigChange | undefined>;
    /** Resolves once no write is in flight. */
    readonly idle: Promise<void>;
}

interface QueuedChange extends PendingChange {
    readonly resolve: (change: ConfigChange | undefined) => void;
    readonly reject: (err: ServeError) => void;
}

interface StoredLog {
    readonly log: ConfigLog;
    readonly bytes: number;
    readonly revision: number;
}

/** Limit on the changes in one write. */
const MAX_BATCH = 64;
/** Pause between two writes, in milliseconds, to collect changes and let other hosts' refused writes succeed. */
const BATCH_INTERVAL_MS = 10;
/** Least number of changes that a compaction leaves in the log. */
const KEEP_CHANGES = 64;
/** Size above which further writes wait for the compaction, in bytes. */
const MAX_LOG_BYTES = 640 * 1024;

/**
 * Creates a committer. Changes that arrive while a write is in flight share the next one.
 *
 * @param options - Key-value client, clock, metrics and compaction settings
 * @returns the committer
 *
 * @example
 * const change = await committer.commit(operator, decide);
 */
export function createCommitter(options: CommitterOptions): Committer {
    const queue: QueuedChange[] = [];
    let currentRun: Promise<void> = Promise.resolve();
    let isRunning = false;
    let latest: StoredLog | undefined;
    let isCompacting = false;
    let isUnavailable = false;
    const compact = async (): Promise<void> => {
        if (isCompacting) {
            return;
        }
        isCompacting = true;
        const compactOptions = { keepChanges: KEEP_CHANGES, keepAfterMs: options.clock.wallMs() - options.keepMs };
        const moved = await compactLog(options.kv, compactOptions).catch(() => false);
        options.metrics.count("config_compactions_total", { result: moved ? "moved" : "failed" });
        isCompacting = false;
    };
    const writeBatch = async (batch: readonly QueuedChange[]): Promise<void> => {
        let remaining = batch;
        latest ??= await readStoredLog(options.kv);
        while (remaining.length > 0) {
            const snapshot = await options.applyLog(latest.log);
            const result = await writeOnce(options, latest, snapshot, remaining);
            latest = result.entry;
            remaining = result.remaining;
        }
        if (latest.log.changes.length > KEEP_CHANGES && latest.bytes > options.compactBytes) {
            const compacting = compact();
            if (latest.bytes > MAX_LOG_BYTES) {
                await compacting;
                latest = undefined;
            }
        }
    };
    const writeQueue = async (): Promise<void> => {
        while (queue.length > 0) {
            const batch = queue.splice(0, MAX_BATCH);
            try {
                await writeBatch(batch);
                isUnavailable = false;
                await sleep(options.clock, BATCH_INTERVAL_MS);
            }
            catch (err) {
                latest = undefined;
                isUnavailable = true;
                const failure = toServeError(err, KV_UNAVAILABLE);
                batch.forEach(item => item.reject(failure));
            }
        }
    };
    return {
        commit: (by, decide) =>
            new Promise((resolve, reject) => {
                if (isRunning && isUnavailable) {
                    reject(new ServeError("the key-value service is unavailable; nothing was changed", KV_UNAVAILABLE));
                    return;
                }
                queue.push({ changeId: createId<ChangeId>(), by, decide, resolve, reject });
                if (!isRunning) {
                    isRunning = true;
                    currentRun = writeQueue().finally(() => {
                        isRunning = false;
                    });
                }
            }),
        get idle() {
            return currentRun;
        },
    };
}

interface WriteResult {
    readonly entry: StoredLog;
    readonly remaining: readonly QueuedChange[];
}

async function writeOnce(
    options: CommitterOptions,
    latest: StoredLog,
    snapshot: ConfigSnapshot,
    batch: readonly QueuedChange[],
): Promise<WriteResult> {
    const changes: ConfigChange[] = [];
    const writtenChanges: QueuedChange[] = [];
    for (const planned of planBatch(snapshot, batch, options.clock.wallMs())) {
        if (planned.kind === "write") {
            changes.push(planned.change);
            writtenChanges.push(planned.pending);
            continue;
        }
        if (planned.kind === "unchanged") {
            planned.pending.resolve(undefined);
            continue;
        }
        options.metrics.count("config_refusals_total", { reason: planned.err.code });
        planned.pending.reject(planned.err);
    }
    const first = changes[0];
    if (first === undefined) {
        return { entry: latest, remaining: [] };
    }
    const next: ConfigLog = { ...latest.log, changes: [...latest.log.changes, ...changes] };
    const value = JSON.stringify(next);
    const outcome = await options.kv.write({
        purpose: "config",
        key: CONFIG_LOG_KEY,
        expectedRevision: latest.revision,
        value,
        isOwn: present => resolveAttempt(parseConfigLog(present, snapshot.seq), first) === "accepted",
    });
    switch (outcome.kind) {
        case "applied": {
            const log = outcome.entry.value === value ? next : parseConfigLog(outcome.entry.value, snapshot.seq);
            const entry = { log, bytes: outcome.entry.value.length, revision: outcome.entry.revision };
            await options.applyLog(entry.log);
            options.log.write("info", 502, { seq: first.seq, changes: changes.length });
            writtenChanges.forEach((item, at) => item.resolve(changes[at]));
            return { entry, remaining: [] };
        }
        case "refused": {
            options.metrics.count("config_retries_total", { reason: "other_writer" });
            const log = outcome.current === undefined ? EMPTY_LOG : parseConfigLog(outcome.current.value, snapshot.seq);
            if (resolveAttempt(log, first) === "undecided") {
                throw UNDECIDED_ERROR;
            }
            const bytes = outcome.current?.value.length ?? 0;
            return { entry: { log, bytes, revision: outcome.current?.revision ?? 0 }, remaining: writtenChanges };
        }
        case "unavailable":
            throw new ServeError("the key-value service is unavailable; nothing was changed", KV_UNAVAILABLE);
        case "unknown":
            throw UNDECIDED_ERROR;
    }
}

async function readStoredLog(kv: KvClient): Promise<StoredLog> {
    const entry = await kv.read("config", CONFIG_LOG_KEY).catch((cause: unknown) => {
        throw new ServeError("the key-value service is unavailable; nothing was changed", { ...KV_UNAVAILABLE, cause });
    });
    return {
        log: entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value),
        bytes: entry?.value.length ?? 0,
        revision: entry?.revision ?? 0,
    };
}

const KV_UNAVAILABLE = {
    code: "kv_unavailable",
    step: "commit change",
    peer: "KV",
    outcome: "not_run",
    retryAfterMs: 1000,
} as const;

const UNDECIDED_ERROR = new ServeError("the change may or may not have been accepted; read the resource to see", {
    ...KV_UNAVAILABLE,
    code: "kv_unknown",
    outcome: "unknown",
});
