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

/** Dependencies and settings of a configuration task. */
export interface ConfigTaskOptions {
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Fetches changes from a peer with a newer configuration; undefined if no such peer is known. */
    readonly fetch: (request: ConfigFetch) => Promise<ConfigFetchReply | undefined>;
    /** Wait before a failed read of the key-value service is retried, in milliseconds. */
    readonly retryMs: number;
}

/** Receives each newer configuration; `changes` is undefined if the whole snapshot was replaced. */
export type ConfigSubscriber = (snapshot: ConfigSnapshot, changes: readonly ConfigChange[] | undefined) => void;

/** Keeps a host's configuration up to date. */
export interface ConfigTask {
    /** Configuration in effect on this host. */
    readonly snapshot: ConfigSnapshot;
    /** Whether the configuration is complete and at least as new as the peers' were at the start. */
    readonly complete: boolean;
    /** The latest changes, in order and without gaps up to the snapshot's last one. */
    readonly recent: readonly ConfigChange[];
    /** Calls `notify` with each newer configuration; returns a function that unsubscribes. */
    subscribe(notify: ConfigSubscriber): () => void;
    /** Starts or stops watching the log in the key-value service. */
    setRelay(isRelay: boolean): void;
    /** Applies a log that was read or written; resolves with the configuration once it includes the log's end. */
    applyLog(log: ConfigLog): Promise<ConfigSnapshot>;
    /** Records the highest sequence number that peers reported. */
    recordPeerSeq(seq: number): void;
    /** Records that every listed peer was asked once. */
    markPeersAsked(): void;
    /** Applies changes that a peer pushed; returns the last change that this host has. */
    applyPush(push: ConfigPush): ConfigAck;
    /** Builds the reply to a peer that fetches changes. */
    answerFetch(request: ConfigFetch): ConfigFetchReply;
    /** Resolves once the configuration is complete. */
    readonly ready: Promise<void>;
    /** Stops watching and retrying. */
    stop(): void;
}

/**
 * Starts the task that keeps a host's configuration up to date.
 *
 * @param options - Key-value client, clock, log, metrics and access to peers
 * @returns the task
 *
 * @example
 * const config = startConfigTask({ kv, clock, log, metrics, fetch, retryMs: 500 });
 */
export function startConfigTask(options: ConfigTaskOptions): ConfigTask {
    const { kv, clock, metrics } = options;
    const subscribers = new Set<ConfigSubscriber>();
    let state = INITIAL_HOST_CONFIG;
    let watchAbort: AbortController | undefined;
    let isFetching = false;
    let isStopped = false;
    let cancelRetry: CancelTimer = () => undefined;
    let resolveReady: () => void = () => undefined;
    const ready = new Promise<void>(resolve => {
        resolveReady = resolve;
    });
    const dispatch = (message: HostConfigMessage): void => {
        const step = reduceHostConfig(state, message);
        const wasReady = state.ready;
        state = step.state;
        step.effects.forEach(runEffect);
        if (!wasReady && state.ready) {
            resolveReady();
        }
    };
    const runEffect = (effect: HostConfigEffect): void => {
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
            dispatch({ kind: "loaded", ...await loadConfig(kv) });
            await readLog();
        }
        catch {
            metrics.count("config_load_failures_total", { from: "kv" });
            options.log.write("warn", 501, { seq: state.snapshot.seq });
            dispatch({ kind: "loadFailed" });
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
            applyFetchReply(await options.fetch({ afterSeq }));
        }
        catch {
            metrics.count("config_load_failures_total", { from: "peer" });
        }
        finally {
            isFetching = false;
        }
    };
    const applyFetchReply = (reply: ConfigFetchReply | undefined): void => {
        switch (reply?.kind) {
            case "changes":
                dispatch({ kind: "pushed", changes: reply.changes });
                return;
            case "snapshot":
                dispatch({ kind: "loaded", seq: reply.seq, resources: reply.resources });
                return;
            case "incomplete":
            case undefined:
                return;
        }
    };
    const readLog = async (): Promise<void> => {
        const entry = await kv.read("config", CONFIG_LOG_KEY);
        dispatch({
            kind: "log",
            log: entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value, state.snapshot.seq),
        });
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
            if (isRelay === (watchAbort !== undefined)) {
                return;
            }
            watchAbort?.abort();
            watchAbort = isRelay ? new AbortController() : undefined;
            metrics.set("config_watching", isRelay ? 1 : 0);
            if (watchAbort !== undefined) {
                const applyLog = (value: string): void =>
                    dispatch({ kind: "log", log: parseConfigLog(value, state.snapshot.seq) });
                kv.watch("config", CONFIG_LOG_KEY, entry => applyLog(entry.value), watchAbort.signal);
            }
        },
        applyLog(log) {
            const targetSeq = readLastSeq(log);
            dispatch({ kind: "log", log });
            return new Promise(resolve => {
                const isReached = (): boolean => state.complete && state.snapshot.seq >= targetSeq;
                if (isReached()) {
                    resolve(state.snapshot);
                    return;
                }
                const notify: ConfigSubscriber = snapshot => {
                    if (isReached()) {
                        subscribers.delete(notify);
                        resolve(snapshot);
                    }
                };
                subscribers.add(notify);
            });
        },
        recordPeerSeq: seq => dispatch({ kind: "heard", seq }),
        markPeersAsked: () => dispatch({ kind: "greeted" }),
        applyPush(push) {
            dispatch({ kind: "pushed", changes: push.changes });
            return { seq: state.snapshot.seq };
        },
        answerFetch: request => answerConfigFetch(state, request),
        ready,
        stop() {
            isStopped = true;
            cancelRetry();
            watchAbort?.abort();
        },
    };
}
