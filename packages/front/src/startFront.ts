import type { ServingConfig } from "@fulmarcleat/directory";
import type { EnginePolicy } from "@fulmarcleat/dispatch";
import { ServeError } from "@fulmarcleat/errors";
import { createJsonLog, createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { createId, createRandom, createSystemClock, repeat, sleep } from "@fulmarcleat/ids";
import type { EngineId, Incarnation } from "@fulmarcleat/ids";
import {
    createEngineControl,
    createEngineTransport,
    createMetadataStore,
    isReadinessCall,
} from "@fulmarcleat/platform";
import type { Deployment, DeploymentBounds } from "@fulmarcleat/platform";
import type { RunningProgram } from "@fulmarcleat/program";
import { DEFAULT_LOAD_MS } from "@fulmarcleat/residency";
import { createPeerClient, createPeerServer } from "@fulmarcleat/wire";
import type { PeerClient } from "@fulmarcleat/wire";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createAccountLimits } from "./accounts/createAccountLimits.js";
import { createClientHandler } from "./createClientHandler.js";
import type { StopMoments } from "./createClientHandler.js";
import { createClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import type { EngineClosures, WorkClosure } from "./createEngineClosures.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import { createEnginePaths } from "./createEnginePaths.js";
import { createForwarder } from "./createForwarder.js";
import { createForwardServer } from "./createForwardServer.js";
import { createForwardTransport } from "./createForwardTransport.js";
import { createIdleCloser } from "./createIdleCloser.js";
import { createLoadRequestOutbox } from "./createLoadRequestOutbox.js";
import { createLoopTurns } from "./createLoopTurns.js";
import { createOriginStore } from "./createOriginStore.js";
import { createQuarantine } from "./createQuarantine.js";
import { createRequestDigester } from "./createRequestDigester.js";
import { createStreamOrigins } from "./createStreamOrigins.js";
import { detectPauses } from "./detectPauses.js";
import { finishRequests } from "./finishRequests.js";
import type { FrontContext } from "./frontContext.js";
import { guardClock } from "./guardClock.js";
import { startOriginRules } from "./origins/startOriginRules.js";
import { createLoadTimes } from "./performance/createLoadTimes.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import { recordRejection } from "./recordRejection.js";
import { createRequestRunner } from "./runRequest.js";
import { startAdapterTracker } from "./startAdapterTracker.js";
import { startOwnership } from "./startOwnership.js";
import { startSession } from "./startSession.js";
import { startVersionRecords } from "./startVersionRecords.js";
import { createStoreHealth } from "./storeHealth.js";
import { watchClientConnections } from "./watchClientConnections.js";
import { watchSettings } from "./watchSettings.js";

/** Longest time to open a connection to an engine, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** How long an idle connection to an engine is kept open, in milliseconds. */
const ENGINE_IDLE_MS = 4000;
/** Idle connections kept open to one engine; the sum over all hosts stays below the engines' connection limit. */
const ENGINE_IDLE_CONNECTIONS = 12;
/** Most log lines of one routine event per second. */
const LOG_LINES_PER_SECOND = 60;
/** Most log lines that are buffered while standard output accepts none. */
const LOG_CAPACITY = 2000;
/** Time without a request after which a connection between hosts is closed, in milliseconds. */
const PEER_IDLE_MS = 8000;
/** How long an idle connection on which requests are handed to another host is kept open, in milliseconds. */
const FORWARD_IDLE_MS = 4000;
/** Idle connections of that kind kept open to one host. */
const FORWARD_IDLE_CONNECTIONS = 16;
/** Factor on the idle time at the accepting end of a connection, so that the requesting end closes first. */
const SERVER_IDLE_FACTOR = 2;
/** How long a stopping host accepts new requests until the load balancer has removed it, in milliseconds. */
const DRAIN_NOTICE_MS = 2600;
/** Time before the platform's stop limit at which remaining requests are ended, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** Time before that limit at which requests are refused that wait for an engine, in milliseconds. */
const REFUSAL_MARGIN_MS = 150;
/** Largest request head that Node.js accepts, in bytes; the limit in the configuration is checked separately. */
const MAX_HEADER_BYTES = 65_536;
/** Interval between two checks of clients' connections against their limits, in milliseconds. */
const CONNECTION_CHECK_MS = 1000;
const SEED_RANGE = 2 ** 31;

/**
 * Starts the process that serves clients on one of the platform's entry hosts.
 *
 * @param deployment - The platform's settings at the start
 * @param policy - How engines are chosen for generation requests
 * @param readSettings - Reads the settings again; rejects if they are invalid
 * @returns the running process
 *
 * @example
 * const front = await startFront(deployment, "expected_wait", () => readDeployment(process.env));
 */
export async function startFront(
    deployment: Deployment,
    policy: EnginePolicy,
    readSettings: () => Promise<Deployment>,
): Promise<RunningProgram> {
    const settings = { current: deployment };
    const context = await createContext(
        deployment,
        policy,
        () => settings.current.bounds,
        () => closures,
        engine => loadTracker.recordHealth(engine, { kind: "failed", atMs: clock.nowMs() }),
    );
    const { clock, log, metrics, store, transport } = context;
    log.write("info", 100, { host: deployment.host, isFirstStart: deployment.isFirstStart, policy });
    const health = createStoreHealth(clock, log);
    let peers: PeerClient | undefined;
    const clusterView = createClusterView(context, health, () => peers);
    const session = startSession(context, health, clusterView);
    const loadTracker = createEngineLoadTracker(clock, createPerformanceTracker(context, deployment.learnsEngineSpeed));
    const closures = createEngineClosures(context, clusterView);
    const paths = createEnginePaths(
        context,
        clusterView,
        closures,
        () => peers,
        () => handler.running,
        engine => loadTracker.recordHealth(engine, { kind: "reached", atMs: clock.nowMs() }),
    );
    const loadTimes = createLoadTimes(clock, DEFAULT_LOAD_MS);
    const ownership = startOwnership(context, health, clusterView, session, paths, closures, () => peers, loadTimes);
    const outbox = createLoadRequestOutbox(context, () => session.lease);
    const adapters = startAdapterTracker(
        context,
        clusterView,
        ownership,
        loadTracker,
        outbox,
        () => peers,
        loadTimes,
    );
    const streamOrigins = createStreamOrigins(
        context,
        health,
        clusterView,
        () => peers,
        readIntervalMs => createOriginStore(context, readIntervalMs),
    );
    const versionRecords = startVersionRecords(context, health, clusterView);
    const originRules = startOriginRules(context, health, clusterView);
    const quarantine = createQuarantine(context, clusterView, () => peers, paths);
    const limits = createEngineLimits(context, clusterView, () => peers);
    const accountLimits = createAccountLimits(context, clusterView, () => peers);
    let sharedKey: string | undefined;
    const forwardTransport = createForwardTransport({
        readPeerKey: () => sharedKey,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleMs: FORWARD_IDLE_MS,
        idleConnections: FORWARD_IDLE_CONNECTIONS,
    });
    const runner = createRequestRunner(
        context,
        clusterView,
        loadTracker,
        adapters,
        streamOrigins,
        quarantine,
        limits,
        paths,
        closures,
        createForwarder(context, forwardTransport, closures),
    );
    clusterView.onEngineRemoved(entry => transport.forget({ id: entry.id, address: entry.address }));
    detectPauses(clock, pausedMs => {
        log.write("warn", 106, { pausedMs: Math.round(pausedMs) });
        session.markUnverified();
    });
    watchSettings(context, settings, readSettings);
    let isStopping = false;
    const isReady = (): boolean => !isStopping && clusterView.config !== undefined && clusterView.engines.size > 0;
    let stop: StopMoments | undefined;
    const digestRequest = createRequestDigester(() => sharedKey);
    const turns = createLoopTurns(clock, setImmediate);
    const handler = createClientHandler(context, clusterView, runner, () => stop, digestRequest, turns, accountLimits);
    const clients = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        noDelay: true,
    });
    clients.on("request", (req, res) => handler.handle(req, res));
    clients.requestTimeout = 0;
    watchClientConnections(clients, { log, metrics });
    const closeIdleClients = createIdleCloser(clients);
    const readiness = createServer((req, res) => {
        const isReadinessRequest = isReadinessCall(req.method, req.url);
        res.writeHead(!isReadinessRequest ? 404 : isReady() ? 200 : 503).end();
    });
    const metricsServer = createServer((req, res) => {
        void metrics.expose().then(text => res.writeHead(200, { "content-type": "text/plain" }).end(text));
    });
    await Promise.all([
        listen(clients, { host: deployment.clients.ip, port: deployment.clients.port }),
        listen(readiness, { host: deployment.readiness.ip, port: deployment.readiness.port }),
        listen(metricsServer, { host: deployment.ip, port: deployment.metricsPort }),
    ]);
    repeat(clock, CONNECTION_CHECK_MS, () => applyLimits(clients, clusterView.config));
    void session.peerSecret.then(async peerKey => {
        sharedKey = peerKey;
        const shared = { host: deployment.host, peerKey, clock, metrics, log, silenceMs: PEER_IDLE_MS };
        await createPeerServer({
            ...shared,
            silenceMs: PEER_IDLE_MS * SERVER_IDLE_FACTOR,
            listen: { host: deployment.ip, port: deployment.peerPort },
            handlers: {
                adapterLoad: loadRequest => adapters.handleLoadRequest(loadRequest),
                async streamStart(record) {
                    if (!await streamOrigins.keep(record)) {
                        throw new ServeError("the store has not taken the record", UNSTORED_ORIGIN);
                    }
                    return { done: true };
                },
                streamOrigin: ({ requestId }) => Promise.resolve(streamOrigins.answer(requestId)),
                engineCrash: report => Promise.resolve(quarantine.handleCrash(report)),
                promptAnswered: question => Promise.resolve(quarantine.handleQuestion(question)),
                quarantine(notice) {
                    quarantine.handleNotice(notice);
                    return Promise.resolve({ done: true });
                },
                accountGrant: (request, from) => accountLimits.handleGrant(request, from),
                accountReturn: returned => Promise.resolve(accountLimits.handleReturn(returned)),
                engineLimit: (notice, from) => Promise.resolve(limits.handleNotice(notice, from)),
                sendGrant: (request, from) => Promise.resolve(limits.handleRequest(request, from)),
                view: request => clusterView.answer(request),
                orderRight: request => ownership.answerOrderRight(request),
                engineProbe: request => paths.probeFor(request),
                engineReach: request => paths.answer(request),
                engineUse: usageReport => adapters.handleUsageReport(usageReport),
            },
        });
        peers = createPeerClient({ ...shared, heartbeatMs: undefined });
        await createForwardServer({
            host: deployment.host,
            peerKey,
            listen: { host: deployment.ip, port: deployment.forwardPort },
            metrics,
            log,
            maxHeaderBytes: MAX_HEADER_BYTES,
            idleMs: FORWARD_IDLE_MS * SERVER_IDLE_FACTOR,
            handle: (req, res, mark) => handler.handle(req, res, mark),
        });
    });
    return {
        readStopLimitMs: () => context.readBounds().stopMs,
        describeUnfinished: () => `${handler.running} requests`,
        async stop() {
            const startedMs = clock.nowMs();
            isStopping = true;
            const limitMs = startedMs + context.readBounds().stopMs - STOP_MARGIN_MS;
            stop = { beganMs: startedMs, endsMs: limitMs };
            clock.setTimer(limitMs - startedMs - REFUSAL_MARGIN_MS, () => handler.refuseWaiting());
            log.write("info", 102, { running: handler.running });
            await Promise.all([session.leave(), ownership.release()]);
            await sleep(clock, Math.max(0, DRAIN_NOTICE_MS - (clock.nowMs() - startedMs)));
            const release = async (): Promise<void> => {
                versionRecords.stop();
                originRules.stop();
                if (session.lease !== undefined) {
                    await store.endLease(session.lease).catch((err: unknown) =>
                        log.write("warn", 602, { step: "end lease", reason: String(err) })
                    );
                }
            };
            await finishRequests({
                clock,
                countRunning: () => handler.running,
                closeIdle: closeIdleClients,
                release,
                limitMs,
            });
            clusterView.stop();
            adapters.stop();
            streamOrigins.stop();
            paths.stop();
            turns.stop();
            accountLimits.stop();
            log.write("info", 103, { running: handler.running, tookMs: Math.round(clock.nowMs() - startedMs) });
        },
    };
}

async function createContext(
    deployment: Deployment,
    policy: EnginePolicy,
    readBounds: () => DeploymentBounds,
    readClosures: () => EngineClosures,
    recordFailure: (engine: EngineId) => void,
): Promise<FrontContext> {
    const systemClock = createSystemClock();
    const incarnation = createId<Incarnation>();
    const log = createJsonLog({
        process: deployment.host,
        sink: process.stdout,
        readWallMs: () => systemClock.wallMs(),
        linesPerSecond: LOG_LINES_PER_SECOND,
        capacity: LOG_CAPACITY,
    });
    const metrics = createMetrics();
    process.on("unhandledRejection", err => recordRejection({ log, metrics }, err));
    return {
        deployment,
        policy,
        readBounds,
        incarnation,
        store: createMetadataStore(deployment.store, deployment.maxValueBytes),
        control: createEngineControl({
            mayCall: ({ id }) => readClosures().find(id)?.kind !== "paused",
            onNotice: ({ id }, notice) => readClosures().recordNoticeOf(id, notice),
            onOversizedReply({ id }) {
                log.write("warn", 219, { engine: id });
                metrics.count("engine_replies_too_large_total");
                recordFailure(id);
            },
        }),
        transport: createEngineTransport({
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleMs: ENGINE_IDLE_MS,
            idleConnections: ENGINE_IDLE_CONNECTIONS,
        }, ({ target }) => mayWrite(readClosures().find(target.id))),
        clock: guardClock(systemClock, { log, metrics }),
        random: createRandom(Math.floor(Math.random() * SEED_RANGE)),
        hash: await createHasher(),
        log,
        metrics,
    };
}

/** Whether a request may still be written to its engine, which may have said something since it was chosen. */
function mayWrite(closure: WorkClosure | undefined): boolean {
    switch (closure?.kind) {
        case "leaving":
        case "paused":
            return false;
        case "recovering":
        case "unusable":
        case undefined:
            return true;
    }
}

const UNSTORED_ORIGIN = {
    code: "internal",
    step: "store stream origin",
    peer: "platform store",
    outcome: "unknown",
} as const;

/** Applies the client limits of the configuration in effect to the server. */
function applyLimits(server: Server, config: ServingConfig | undefined): void {
    const limits = config?.limits;
    if (limits !== undefined) {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
    }
}
