import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import type { ConfigChange, ConfigSnapshot } from "@fulmarcleat/resources";
import type { ConfigAck, ConfigFetch, ConfigFetchReply, ConfigPush } from "@fulmarcleat/wire";
import { answerConfigFetch } from "./answerConfigFetch.js";
import { CONFIG_LOG_KEY, EMPTY_LOG } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { loadConfig } from "./loadConfig.js";
import { parseConfigLog } from "./parseConfigLog.js";
import { readLastSeq } from "./readLastSeq.js";
import { INITIAL_HOST_CONFIG, reduceHostConfig } from "./reduceHostConfig.js";
import type { HostConfigEffect, HostConfigMessage } from "./reduceHostConfig.js";

/** Settings of a configuration task. */
export interface ConfigTaskOptions {
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Asks a peer that has more; undefined where no peer is known to. */
    readonly fetch: (ask: ConfigFetch) => Promise<ConfigFetchReply | undefined>;
    /** Wait before a failed read of the key-value service is repeated, in milliseconds. */
    readonly retryMs: number;
}

/** Called after each step forward; `changes` is undefined where everything was replaced. */
export type ConfigSubscriber = (snapshot: ConfigSnapshot, changes: readonly ConfigChange[] | undefined) => void;

/** Keeps a host's configuration up to date. */
export interface ConfigTask {
    /** The configuration in force on this host. */
    readonly snapshot: ConfigSnapshot;
    /** Whether the configuration is complete and at least as new as its peers' were at the start. */
    readonly complete: boolean;
    /** The latest changes that are kept, in order and without gaps up to the snapshot's. */
    readonly recent: readonly ConfigChange[];
    /** Calls `notify` after each step forward; returns how to stop. */
    subscribe(notify: ConfigSubscriber): () => void;
    /** Watches the key-value service, or stops watching it. */
    setRelay(isRelay: boolean): void;
    /** Takes in a log that was read or written; resolves with the configuration once it holds the log's end. */
    follow(log: ConfigLog): Promise<ConfigSnapshot>;
    /** Takes in what peers say they hold. */
    hear(seq: number): void;
    /** Notes that every listed peer was asked once. */
    greeted(): void;
    takePush(push: ConfigPush): ConfigAck;
    answerFetch(ask: ConfigFetch): ConfigFetchReply;
    /** Resolves once the configuration is complete. */
    readonly ready: Promise<void>;
    stop(): void;
}

/**
 * Starts the task that holds a host's configuration.
 *
 * @param options - Key-value client, peers and counters
 * @returns the task
 *
 * @example
 * const config = startConfigTask({ kv, clock, log, metrics, fetch, retryMs: 500 });
 */
export function startConfigTask(options: ConfigTaskOptions): ConfigTask {
    const { kv, clock, metrics } = options;
    const subscribers = new Set<ConfigSubscriber>();
    let state = INITIAL_HOST_CONFIG;
    let watching: AbortController | undefined;
    let isFetching = false;
    let isStopped = false;
    let cancelRetry: CancelTimer = () => undefined;
    let markReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        markReady = resolve;
    });
    const send = (message: HostConfigMessage): void => {
        const step = reduceHostConfig(state, message);
        const wasReady = state.ready;
        state = step.state;
        step.effects.forEach(run);
        if (!wasReady && state.ready) {
            markReady();
        }
    };
    const run = (effect: HostConfigEffect): void => {
        switch (effect.kind) {
            case "load":
                void load();
                return;
            case "fetch":
                void fetchMissing(effect.afterSeq);
                return;
            case "inForce":
                metrics.set("config_seq", state.snapshot.seq);
                options.log.write("info", 500, { seq: state.snapshot.seq });
                subscribers.forEach(notify => notify(state.snapshot, effect.changes));
                return;
        }
    };
    const load = async (): Promise<void> => {
        metrics.count("config_loads_total", { from: "kv" });
        try {
            send({ kind: "loaded", ...await loadConfig(kv) });
            await readLog();
        }
        catch {
            metrics.count("config_load_failures_total", { from: "kv" });
            options.log.write("warn", 501, { seq: state.snapshot.seq });
            send({ kind: "loadFailed" });
            retryLater();
        }
    };
    const fetchMissing = async (afterSeq: number): Promise<void> => {
        if (isFetching) {
            return;
        }
        isFetching = true;
        try {
            metrics.count("config_loads_total", { from: "peer" });
            takeReply(await options.fetch({ afterSeq }));
        }
        catch {
            metrics.count("config_load_failures_total", { from: "peer" });
        }
        finally {
            isFetching = false;
        }
    };
    const takeReply = (reply: ConfigFetchReply | undefined): void => {
        switch (reply?.kind) {
            case "changes":
                send({ kind: "pushed", changes: reply.changes });
                return;
            case "snapshot":
                send({ kind: "loaded", seq: reply.seq, resources: reply.resources });
                return;
            case "incomplete":
            case undefined:
                return;
        }
    };
    const readLog = async (): Promise<void> => {
        const entry = await kv.read("config", CONFIG_LOG_KEY);
        send({ kind: "log", log: entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value, state.snapshot.seq) });
    };
    const retryLater = (): void => {
        cancelRetry();
        cancelRetry = clock.setTimer(options.retryMs, () => {
            if (!isStopped && !state.ready) {
                readLog().catch(retryLater);
            }
        });
    };
    readLog().catch(retryLater);
    return {
        get snapshot() {
            return state.snapshot;
        },
        get complete() {
            return state.ready;
        },
        get recent() {
            return state.recent;
        },
        subscribe(notify) {
            subscribers.add(notify);
            return () => subscribers.delete(notify);
        },
        setRelay(isRelay) {
            if (isRelay === (watching !== undefined)) {
                return;
            }
            watching?.abort();
            watching = isRelay ? new AbortController() : undefined;
            metrics.set("config_watching", isRelay ? 1 : 0);
            if (watching !== undefined) {
                const take = (value: string): void =>
                    send({ kind: "log", log: parseConfigLog(value, state.snapshot.seq) });
                kv.watch("config", CONFIG_LOG_KEY, entry => take(entry.value), watching.signal);
            }
        },
        follow(log) {
            const wanted = readLastSeq(log);
            send({ kind: "log", log });
            return new Promise(resolve => {
                const check = (): boolean => state.complete && state.snapshot.seq >= wanted;
                if (check()) {
                    resolve(state.snapshot);
                    return;
                }
                const notify: ConfigSubscriber = snapshot => {
                    if (check()) {
                        subscribers.delete(notify);
                        resolve(snapshot);
                    }
                };
                subscribers.add(notify);
            });
        },
        hear: seq => send({ kind: "heard", seq }),
        greeted: () => send({ kind: "greeted" }),
        takePush(push) {
            send({ kind: "pushed", changes: push.changes });
            return { seq: state.snapshot.seq };
        },
        answerFetch: ask => answerConfigFetch(state, ask),
        ready,
        stop() {
            isStopped = true;
            cancelRetry();
            watching?.abort();
        },
    };
}
