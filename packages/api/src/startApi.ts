import { createCommitter, startConfigTask } from "@fulmarcleat/config";
import { createEtcdKv, createHttpHostList } from "@fulmarcleat/drivers";
import { createEventLog, createMetrics } from "@fulmarcleat/events";
import type { Metrics } from "@fulmarcleat/events";
import { createSystemClock } from "@fulmarcleat/ids";
import { createKvClient } from "@fulmarcleat/kv";
import { readPem, readTls } from "@fulmarcleat/settings";
import type { ListenSettings } from "@fulmarcleat/settings";
import { createPeerClient } from "@fulmarcleat/wire";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import type { ApiSettings } from "./apiSettings.js";
import { createApiHandler } from "./createApiHandler.js";

/** A running operator API. */
export interface Api {
    readonly url: string;
    readonly metrics: Metrics;
    /** Resolves once the configuration is complete. */
    readonly ready: Promise<void>;
    /** Stops gracefully: refuses new requests, lets those in flight finish and ends watches with a bookmark. */
    stop(): Promise<void>;
    /** Describes the work in flight that would be lost if the process exited now. */
    describeUnfinished(): string;
}

/** Interval of heartbeats to peers, and delay before a failed read of the configuration is retried, in milliseconds. */
const PEER_HEARTBEAT_MS = 1000;
/** Time after which a connection to a peer that sends nothing is closed, in milliseconds. */
const PEER_SILENCE_MS = 5000;

/**
 * Starts an operator API and waits until it listens.
 *
 * @param cfg - Validated settings
 * @returns the running API; its configuration may still be loading
 *
 * @example
 * const api = await startApi(await loadSettings(apiSettingsSchema, file));
 */
export async function startApi(cfg: ApiSettings): Promise<Api> {
    const clock = createSystemClock();
    const metrics = createMetrics();
    const log = createEventLog({ process: `api ${cfg.host}`, level: cfg.logLevel as 3 });
    const kv = createKvClient({ driver: createEtcdKv(cfg.kv), clock, metrics, log, resolveMs: cfg.kv.timeoutMs * 2 });
    const peers = createPeerClient({
        host: cfg.host,
        peerKey: cfg.peerKey,
        ca: cfg.peerCaFile === undefined ? undefined : await readPem(cfg.peerCaFile),
        clock,
        metrics,
        log,
        heartbeatMs: PEER_HEARTBEAT_MS,
        silenceMs: PEER_SILENCE_MS,
    });
    const hostList = createHttpHostList(cfg.hostList);
    const stopping = new AbortController();
    const config = startConfigTask({
        kv,
        clock,
        log,
        metrics,
        fetch: () => Promise.resolve(undefined),
        retryMs: PEER_HEARTBEAT_MS,
    });
    config.setRelay(true);
    const committer = createCommitter({
        kv,
        clock,
        metrics,
        log,
        applyLog: config.applyLog,
        compactBytes: cfg.compactBytes,
        keepMs: cfg.keepChangesMs,
    });
    const server = await createListener(
        cfg.operators,
        createApiHandler({
            cfg,
            config,
            committer,
            clock,
            metrics,
            log,
            gather: { hostList, peers, timeoutMs: cfg.statusMs },
            stopping: stopping.signal,
        }),
    );
    let running = 0;
    server.on("request", (req, res) => {
        running += 1;
        res.on("close", () => {
            running -= 1;
        });
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(cfg.operators.port, cfg.operators.host, resolve);
    });
    const { port } = server.address() as AddressInfo;
    log.write("info", 100, { host: cfg.host, operators: port });
    void config.ready.then(() => log.write("info", 101, { host: cfg.host }));
    return {
        url: `${cfg.operators.tls === undefined ? "http" : "https"}://${cfg.operators.host}:${port}`,
        metrics,
        ready: config.ready,
        describeUnfinished: () => `${running} requests in flight`,
        async stop() {
            log.write("info", 102, { host: cfg.host });
            stopping.abort();
            await new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeIdleConnections();
            });
            await committer.idle;
            config.stop();
            peers.close();
            await hostList.close();
            await kv.close();
            log.write("info", 103, { host: cfg.host });
        },
    };
}

async function createListener(listen: ListenSettings, handler: RequestListener): Promise<Server> {
    const tls = await readTls(listen.tls);
    return tls === undefined ? createServer(handler) : createTlsServer({ ...tls }, handler);
}
