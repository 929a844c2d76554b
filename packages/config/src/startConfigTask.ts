import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { KvClient } from "@fulmarcleat/kv";
import { applyChanges, EMPTY_SNAPSHOT } from "@fulmarcleat/resources";
import type { ConfigChange, ConfigSnapshot } from "@fulmarcleat/resources";
import { CONFIG_LOG_KEY } from "./configLog.js";
import { parseConfigLog } from "./parseConfigLog.js";

/** Settings of a configuration task. */
export interface ConfigTaskOptions {
    readonly kv: KvClient;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Keeps a host's configuration up to date. */
export interface ConfigTask {
    /** The configuration in force on this host. */
    readonly snapshot: ConfigSnapshot;
    /** Whether the configuration is complete. */
    readonly complete: boolean;
    /** Calls `notify` after each step forward; returns how to stop. */
    subscribe(notify: (snapshot: ConfigSnapshot, changes: readonly ConfigChange[]) => void): () => void;
    /** Resolves once the configuration is complete. */
    readonly ready: Promise<void>;
    stop(): void;
}

/**
 * Starts the task that holds a host's configuration.
 *
 * @param options - Key-value client and counters
 * @returns the task
 *
 * @example
 * const config = startConfigTask({ kv, log, metrics });
 */
export function startConfigTask(options: ConfigTaskOptions): ConfigTask {
    const subscribers = new Set<(snapshot: ConfigSnapshot, changes: readonly ConfigChange[]) => void>();
    const stopping = new AbortController();
    let snapshot = EMPTY_SNAPSHOT;
    let complete = false;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });
    options.kv.watch("config", CONFIG_LOG_KEY, entry => {
        const { changes } = parseConfigLog(entry.value);
        const next = applyChanges(snapshot, changes);
        const fresh = changes.filter(change => change.seq > snapshot.seq);
        snapshot = next;
        complete = true;
        options.metrics.set("config_seq", snapshot.seq);
        options.log.write("info", 500, { seq: snapshot.seq });
        subscribers.forEach(notify => notify(snapshot, fresh));
        markReady();
    }, stopping.signal);
    return {
        get snapshot() {
            return snapshot;
        },
        get complete() {
            return complete;
        },
        subscribe(notify) {
            subscribers.add(notify);
            return () => subscribers.delete(notify);
        },
        ready,
        stop: () => stopping.abort(),
    };
}
