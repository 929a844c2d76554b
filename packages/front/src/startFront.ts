import type { ServingConfig } from "@fulmarcleat/directory";
import type { EnginePolicy } from "@fulmarcleat/dispatch";
import { createJsonLog, createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { listen } from "@fulmarcleat/http";
import { createId, createRandom, createSystemClock, waitMs } from "@fulmarcleat/ids";
import type { Incarnation } from "@fulmarcleat/ids";
import {
    createEngineControl,
    createEngineTransport,
    createMetadataStore,
    isReadinessCall,
} from "@fulmarcleat/platform";
import type { Deployment, DeploymentBounds } from "@fulmarcleat/platform";
import type { RunningProgram } from "@fulmarcleat/program";
import { createPeerClient, createPeerServer } from "@fulmarcleat/wire";
import type { PeerClient } from "@fulmarcleat/wire";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createClientHandler } from "./createClientHandler.js";
import { createEngineBoard } from "./createEngineBoard.js";
import { createKnowledge } from "./createKnowledge.js";
import { createWantMail } from "./createWantMail.js";
import { followSettings } from "./followSettings.js";
import type { FrontContext } from "./frontContext.js";
import { createRequestRunner } from "./runRequest.js";
import { startAdapterBoard } from "./startAdapterBoard.js";
import { startOwnership } from "./startOwnership.js";
import { startSession } from "./startSession.js";
import { createStoreHealth } from "./storeHealth.js";
import { watchPauses } from "./watchPauses.js";

/** Longest time until a connection to an engine is open, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** How long an idle connection to an engine is kept, in milliseconds. */
const ENGINE_IDLE_MS = 4000;
/** Idle connections kept to one engine; all hosts' stay below what engines take. */
const ENGINE_IDLE_CONNECTIONS = 12;
/** Log lines of one routine event that are written in a second. */
const LOG_LINES_PER_SECOND = 60;
/** Log lines that wait while standard output takes none. */
const LOG_CAPACITY = 2000;
/** Time after which a connection between hosts that nothing is asked on is closed, in milliseconds. */
const PEER_IDLE_MS = 8000;
/** How many times as long a host keeps a connection that another opened; the one that asks closes first. */
const SERVER_PATIENCE = 2;
/** How long a stopping host goes on serving new requests while the balancer takes it out, in milliseconds. */
const DRAIN_NOTICE_MS = 2600;
/** How long before the platform's limit a stop ends what is left, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** How often a stop looks whether requests still run, in milliseconds. */
const STOP_POLL_MS = 50;
/** Largest head that Node.js reads, in bytes; the configuration's limit is checked besides. */
const MAX_HEADER_BYTES = 65_536;
/** How often clients' connections are checked against their limits, in milliseconds. */
const CONNECTION_CHECK_MS = 1000;
const SEED_RANGE = 2 ** 31;

/**
 * Starts the process that serves clients on the platform's entry hosts.
 *
 * @param deployment - What the platform's settings say
 * @param policy - How engines are chosen
 * @param readSettings - Reads them again
 * @returns the running process
 *
 * @example
 * const front = await startFront(await readDeployment(process.env), "expected_wait", () => readDeployment(process.env));
 */
export async function startFront(
    deployment: Deployment,
    policy: EnginePolicy,
    readSettings: () => Promise<Deployment>,
): Promise<RunningProgram> {
    const settings = { current: deployment };
    const context = await createContext(deployment, policy, () => settings.current.bounds);
    const { clock, log, metrics, store, transport } = context;
    log.write("info", 100, { host: deployment.host, isFirstStart: deployment.isFirstStart, policy });
    const health = createStoreHealth(clock, log);
    const knowledge = createKnowledge(context, health);
    const session = startSession(context, health, knowledge);
    const ownership = startOwnership(context, health, knowledge, session);
    const board = createEngineBoard(clock);
    const mail = createWantMail(context, () => session.lease);
    let peers: PeerClient | undefined;
    const adapters = startAdapterBoard(context, knowledge, ownership, board, mail, () => peers);
    const runner = createRequestRunner(context, knowledge, board, adapters);
    knowledge.onEngineGone(entry => transport.forget({ id: entry.id, address: entry.address }));
    watchPauses(clock, pausedMs => {
        log.write("warn", 106, { pausedMs: Math.round(pausedMs) });
        session.distrust();
    });
    followSettings(context, settings, readSettings);
    let isStopping = false;
    const isReady = (): boolean => !isStopping && knowledge.config !== undefined && knowledge.engines.size > 0;
    let stopsAtMs: number | undefined;
    const handler = createClientHandler(context, knowledge, runner, () => stopsAtMs);
    const clients = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        noDelay: true,
    });
    clients.on("request", (req, res) => handler.handle(req, res));
    clients.requestTimeout = 0;
    const readiness = createServer((req, res) => {
        const isAsked = isReadinessCall(req.method, req.url);
        res.writeHead(!isAsked ? 404 : isReady() ? 200 : 503).end();
    });
    const metricsServer = createServer((req, res) => {
        void metrics.expose().then(text => res.writeHead(200, { "content-type": "text/plain" }).end(text));
    });
    await Promise.all([
        listen(clients, { host: deployment.clients.ip, port: deployment.clients.port }),
        listen(readiness, { host: deployment.readiness.ip, port: deployment.readiness.port }),
        listen(metricsServer, { host: deployment.ip, port: deployment.metricsPort }),
    ]);
    followLimits(context, clients, () => knowledge.config);
    void session.peerSecret.then(async peerKey => {
        const shared = { host: deployment.host, peerKey, clock, metrics, log, silenceMs: PEER_IDLE_MS };
        await createPeerServer({
            ...shared,
            silenceMs: PEER_IDLE_MS * SERVER_PATIENCE,
            listen: { host: deployment.ip, port: deployment.peerPort },
            handlers: {
                adapterLoad: ask => adapters.answerLoad(ask),
                engineUse: tell => adapters.answerUse(tell),
            },
        });
        peers = createPeerClient({ ...shared, heartbeatMs: undefined });
    });
    return {
        describeUnfinished: () => `${handler.running} requests`,
        async stop() {
            const startedMs = clock.nowMs();
            isStopping = true;
            const limitMs = startedMs + context.readBounds().stopMs - STOP_MARGIN_MS;
            stopsAtMs = limitMs;
            log.write("info", 102, { running: handler.running });
            await Promise.all([session.leave(), ownership.release()]);
            await waitMs(clock, Math.max(0, DRAIN_NOTICE_MS - (clock.nowMs() - startedMs)));
            clients.closeIdleConnections();
            while (handler.running > 0 && clock.nowMs() < limitMs) {
                await waitMs(clock, STOP_POLL_MS);
                clients.closeIdleConnections();
            }
            knowledge.stop();
            adapters.stop();
            if (session.lease !== undefined) {
                await store.endLease(session.lease).catch((err: unknown) =>
                    log.write("warn", 602, { step: "end lease", reason: String(err) })
                );
            }
            log.write("info", 103, { running: handler.running, tookMs: Math.round(clock.nowMs() - startedMs) });
        },
    };
}

async function createContext(
    deployment: Deployment,
    policy: EnginePolicy,
    readBounds: () => DeploymentBounds,
): Promise<FrontContext> {
    const clock = createSystemClock();
    const incarnation = createId<Incarnation>();
    const log = createJsonLog({
        process: deployment.host,
        sink: process.stdout,
        readWallMs: () => clock.wallMs(),
        linesPerSecond: LOG_LINES_PER_SECOND,
        capacity: LOG_CAPACITY,
    });
    return {
        deployment,
        policy,
        readBounds,
        incarnation,
        store: createMetadataStore(deployment.store),
        control: createEngineControl(),
        transport: createEngineTransport({
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleMs: ENGINE_IDLE_MS,
            idleConnections: ENGINE_IDLE_CONNECTIONS,
        }),
        clock,
        random: createRandom(Math.floor(Math.random() * SEED_RANGE)),
        hash: await createHasher(),
        log,
        metrics: createMetrics(),
    };
}

/** Keeps the server's limits as the configuration in force has them. */
function followLimits(context: FrontContext, server: Server, readConfig: () => ServingConfig | undefined): void {
    const limits = readConfig()?.limits;
    if (limits !== undefined) {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
    }
    context.clock.setTimer(CONNECTION_CHECK_MS, () => followLimits(context, server, readConfig));
}
