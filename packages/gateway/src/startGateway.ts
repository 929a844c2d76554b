import { createRetryBudget } from "@fulmarcleat/admission";
import { startConfigTask } from "@fulmarcleat/config";
import { createEtcdKv, createHttpEngine, createHttpHostList } from "@fulmarcleat/drivers";
import type { EngineDriver } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import { createEventLog, createMetrics } from "@fulmarcleat/events";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { createId, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, RequestId } from "@fulmarcleat/ids";
import { createKvClient } from "@fulmarcleat/kv";
import { startMembershipTask } from "@fulmarcleat/membership";
import { createLoadBudgetTask, startOwnershipTask } from "@fulmarcleat/ownership";
import { createPopularityTable, DEFAULT_POPULARITY, FULMARCLEAT_DECISIONS, shareLoads } from "@fulmarcleat/placement";
import type { LoadShare, PolicyDecisions } from "@fulmarcleat/placement";
import { readPolicy, readResource } from "@fulmarcleat/resources";
import { readPem, readTls } from "@fulmarcleat/settings";
import { createPeerClient, createPeerServer } from "@fulmarcleat/wire";
import type {
    Acknowledgement,
    PeerHello,
    PlaceReply,
    PlaceRequest,
    PlacesHeldReply,
    PlacesHeldRequest,
    StatusReply,
} from "@fulmarcleat/wire";
import { buildOfferIndex } from "./buildOfferIndex.js";
import type { ConfiguredEngine } from "./buildOfferIndex.js";
import { createCallerHandler } from "./createCallerHandler.js";
import { createCallerServer } from "./createCallerServer.js";
import { createDecisionLog } from "./createDecisionLog.js";
import { createPlaceRouter } from "./createPlaceRouter.js";
import { createReplicaChooser } from "./createReplicaChooser.js";
import { createServicePool } from "./createServicePool.js";
import { fetchConfig } from "./fetchConfig.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import { initializeCounters } from "./initializeCounters.js";
import { listOwnableEngines } from "./listOwnableEngines.js";
import { startConfigPropagation } from "./startConfigPropagation.js";
import { startGatewayClaims } from "./startGatewayClaims.js";
import { startSessionTask } from "./startSessionTask.js";

/** A running gateway. */
export interface Gateway {
    readonly host: HostId;
    /** Base URL for callers. */
    readonly url: string;
    /** TCP port for peers. */
    readonly peerPort: number;
    readonly metrics: Metrics;
    /** Engines that this host owns now. */
    readonly ownedEngines: readonly EngineId[];
    /** Resolves when the configuration is loaded and the membership is known. */
    readonly ready: Promise<void>;
    /** Stops without notifying peers, engines or the key-value service, to simulate a host failure. */
    crash(): Promise<void>;
    /** Stops gracefully: rejects new requests, finishes running ones and releases the owned engines. */
    stop(): Promise<void>;
    /** Describes the requests that a stop at its time limit would abort. */
    describeUnfinished(): string;
    /** Resolves when this host's configuration includes the change with this number. */
    configReached(seq: number): Promise<void>;
}

/** Number of decisions held for explanations. */
const MAX_DECISIONS = 10_000;
const DONE_REPLY: Acknowledgement = { done: true };

/**
 * Starts a gateway with all its tasks.
 *
 * @param cfg - Validated settings
 * @param decisions - Decision functions of the placement policy
 * @returns the running gateway
 *
 * @example
 * const gateway = await startGateway(await loadSettings(gatewaySettingsSchema, file));
 */
export async function startGateway(
    cfg: GatewaySettings,
    decisions: PolicyDecisions = FULMARCLEAT_DECISIONS,
): Promise<Gateway> {
    const clock = createSystemClock();
    const metrics = createMetrics();
    initializeCounters(metrics);
    const log: EventLog = createEventLog({ process: `gateway ${cfg.host}`, level: cfg.logLevel as 3 });
    const hash = await createHasher();
    const incarnation = createId<Incarnation>();
    const decisionLog = createDecisionLog(MAX_DECISIONS);
    const kv = createKvClient({ driver: createEtcdKv(cfg.kv), clock, metrics, log, resolveMs: cfg.kv.timeoutMs * 2 });
    const peers = createPeerClient({
        host: cfg.host,
        peerKey: cfg.peerKey,
        ca: cfg.peerCaFile === undefined ? undefined : await readPem(cfg.peerCaFile),
        clock,
        metrics,
        log,
        heartbeatMs: cfg.helloMs,
        silenceMs: cfg.silenceMs,
    });
    const drivers = new Map<EngineId, { readonly url: string; readonly driver: EngineDriver }>();
    let leaving = false;

    const config = startConfigTask({
        kv,
        clock,
        log,
        metrics,
        fetch: request => fetchConfig({ membership, peers, host: cfg.host, request, timeoutMs: cfg.silenceMs }),
        retryMs: cfg.helloMs,
    });
    const index = buildOfferIndex(config.snapshot);
    config.subscribe((snapshot, changes) => index.update(snapshot, changes));
    const ensureDriver = (entry: ConfiguredEngine): EngineDriver => {
        const existing = drivers.get(entry.engine);
        if (existing?.url === entry.url) {
            return existing.driver;
        }
        const driver = createHttpEngine({
            url: entry.url,
            connectTimeoutMs: cfg.connectTimeoutMs,
            silenceMs: cfg.streamSilenceMs,
            openTimeoutMs: cfg.openTimeoutMs,
        });
        drivers.set(entry.engine, { url: entry.url, driver });
        return driver;
    };
    const findEngine = (engine: EngineId): EngineDriver | undefined => {
        const entry = index.engines.find(candidate => candidate.engine === engine);
        return entry === undefined ? undefined : ensureDriver(entry);
    };
    const describeSelf = (): PeerHello => ({
        host: cfg.host,
        incarnation,
        leaving,
        configSeq: config.snapshot.seq,
        ownedEngines: ownership.owned.map(task => task.state.engine),
    });
    const membership = startMembershipTask({
        host: cfg.host,
        incarnation,
        hostList: createHttpHostList(cfg.hostList),
        peers,
        clock,
        metrics,
        log,
        helloMs: cfg.helloMs,
        silenceMs: cfg.silenceMs,
        describeSelf: () => describeSelf(),
        onReplaced: (host, previous) => ownership.handleHostReplacement(host, previous),
    });
    const propagation = startConfigPropagation({
        host: cfg.host,
        failureDomain: cfg.failureDomain,
        config,
        membership,
        peers,
        clock,
        hash,
        metrics,
        timeoutMs: cfg.silenceMs,
        ...cfg.configSpread,
    });
    const recordDecision = (
        decision: {
            step: string;
            detail: string;
            adapter: PlaceRequest["adapter"] | undefined;
            requestId: RequestId | undefined;
        },
    ): void =>
        decisionLog.record({
            atMs: clock.wallMs(),
            host: cfg.host,
            step: decision.step,
            detail: decision.detail,
            adapter: decision.adapter,
            requestId: decision.requestId,
        });
    const chooseReplicas = createReplicaChooser({
        hash,
        decisions,
        readIndex: () => index,
        readReplicaRate: () => readPolicy(config.snapshot).replicaRate,
    });
    const getMember = (host: HostId) => {
        const member = membership.find(host);
        if (member === undefined) {
            throw new ServeError("the host is not a known member", {
                code: "peer_failed",
                step: "find peer",
                peer: host,
                outcome: "not_run",
            });
        }
        return member;
    };
    const computeLoadShare = (): LoadShare =>
        shareLoads({
            ...readPolicy(config.snapshot),
            ownedEngines: ownership.owned.length,
            engines: index.engines.length,
        });
    const session = startSessionTask({ host: cfg.host, incarnation, kv, clock, log, leaseMs: cfg.leaseMs });
    const ownership = startOwnershipTask({
        host: cfg.host,
        incarnation,
        kv,
        hash,
        clock,
        metrics,
        log,
        budget: createLoadBudgetTask(clock, () => computeLoadShare()),
        claimMs: cfg.claimMs,
        reportMs: cfg.reportMs,
        orderMs: cfg.orderMs,
        leaseMs: cfg.leaseMs,
        listEngines: () => listOwnableEngines(index.engines, readPolicy(config.snapshot), ensureDriver),
        listHosts: () => membership.liveHosts,
        listHolders: () => membership.members.map(member => member.host),
        findAnnouncedOwner: engine => findAnnouncedOwner(engine),
        isSessionTrusted: () => session.isTrusted(),
        sessionOpenedMs: () => session.openedMs,
        requestHeldPlaces: (host, request) =>
            host === cfg.host
                ? Promise.resolve(describeHeld(request))
                : peers.request(getMember(host), "placesHeld", request, cfg.silenceMs),
        chooseReplicas,
        decisions,
        popularity: createPopularityTable(DEFAULT_POPULARITY),
        readWeight: caller => readResource(config.snapshot, "Caller", caller)?.spec.weight ?? 1,
        recordDecision,
    });
    const findAnnouncedOwner = (engine: EngineId): HostId | undefined =>
        membership.members.find(member =>
            member.host !== cfg.host && member.state !== "silent" && member.ownedEngines.includes(engine)
        )?.host;
    const findOwner = (engine: EngineId): HostId | undefined => {
        if (ownership.find(engine)?.state.phase === "owned") {
            return cfg.host;
        }
        return findAnnouncedOwner(engine);
    };
    const describeHeld = (request: PlacesHeldRequest): PlacesHeldReply => {
        ownership.observeFence(request.engine, request.fence);
        return router.describeHeld(request);
    };
    const handlePlaceRequest = (request: PlaceRequest): Promise<PlaceReply> => {
        const task = ownership.find(request.engine);
        return task === undefined || task.state.phase !== "owned"
            ? Promise.resolve({ kind: "not_owner", owner: undefined })
            : task.requestPlace(request);
    };
    const router = createPlaceRouter({
        host: cfg.host,
        incarnation,
        hash,
        clock,
        metrics,
        listEngines: offered => index.listEngines(offered.baseModel),
        findOwner,
        lookUpOwner: engine => ownership.lookUpOwner(engine),
        decisions,
        requestPlace: (owner, request) =>
            owner === cfg.host
                ? handlePlaceRequest(request)
                : peers.request(getMember(owner), "place", request, request.waitMs + cfg.silenceMs),
        endPlaces: async (owner, end) => {
            if (owner === cfg.host) {
                ownership.find(end.engine)?.endPlaces(end);
                return;
            }
            await peers.request(getMember(owner), "placeEnd", end, cfg.silenceMs);
        },
    });
    const claims = startGatewayClaims(cfg, {
        incarnation,
        kv,
        hash,
        clock,
        metrics,
        readPolicy: () => readPolicy(config.snapshot),
        listLiveHosts: () => membership.liveHosts,
        requestFromPeer: (host, request, timeoutMs) => peers.request(getMember(host), "claim", request, timeoutMs),
        endOnPeer: (host, end) => peers.request(getMember(host), "claimEnd", end, cfg.helloMs),
    });
    const services = createServicePool(cfg.connectTimeoutMs);
    const describeStatus = (): StatusReply => ({
        host: cfg.host,
        incarnation,
        configSeq: config.snapshot.seq,
        ready: config.complete && !leaving,
        leaving,
        ownedEngines: ownership.owned.map(task => task.state.engine),
        engines: ownership.owned.map(task => task.status()),
    });
    const peerServer = await createPeerServer({
        host: cfg.host,
        peerKey: cfg.peerKey,
        listen: cfg.peers,
        tls: await readTls(cfg.peers.tls),
        clock,
        metrics,
        log,
        silenceMs: cfg.silenceMs,
        handlers: {
            hello: request => Promise.resolve(membership.handleHello(request)),
            place: handlePlaceRequest,
            placeEnd: end => {
                ownership.find(end.engine)?.endPlaces(end);
                return Promise.resolve(DONE_REPLY);
            },
            claim: claims.handleRequest,
            claimEnd: end => {
                claims.handleEnd(end);
                return Promise.resolve(DONE_REPLY);
            },
            placesHeld: request => Promise.resolve(describeHeld(request)),
            status: () => Promise.resolve(describeStatus()),
            configPush: push => Promise.resolve(config.applyPush(push)),
            configFetch: request => Promise.resolve(config.answerFetch(request)),
            explain: request => Promise.resolve({ decisions: decisionLog.find(request) }),
        },
    });
    const handler = createCallerHandler({
        readIndex: () => index,
        readPolicy: () => readPolicy(config.snapshot),
        router,
        findEngine,
        clock,
        metrics,
        log,
        retries: createRetryBudget(() => readPolicy(config.snapshot).retryShare, createRandom(hash(incarnation))),
        maxBodyBytes: cfg.maxBodyBytes,
        bodyTimeoutMs: cfg.bodyTimeoutMs,
        isReady: () => config.complete && !leaving,
        isLeaving: () => leaving,
        recordStep: (requestId, generation, step, detail) =>
            recordDecision({ step, detail, requestId, adapter: generation?.offered.adapter }),
        claims,
        findService: services.find,
    });
    const server = await createCallerServer({
        listen: cfg.callers,
        handler,
        metrics,
        headersTimeoutMs: cfg.headersTimeoutMs,
    });
    log.write("info", 100, { host: cfg.host, callers: server.url, peers: peerServer.port });
    const closeAll = async (): Promise<void> => {
        ownership.stop();
        membership.stop();
        propagation.stop();
        config.stop();
        peers.close();
        await peerServer.close();
        await services.close();
        await Promise.all([...drivers.values()].map(entry => entry.driver.close()));
        await kv.close();
    };
    const ready = Promise.all([config.ready, membership.ready]).then(() => log.write("info", 101, { host: cfg.host }));
    const stopOnce = async (): Promise<void> => {
        leaving = true;
        log.write("info", 102, { host: cfg.host });
        await membership.announce();
        const closed = server.close();
        await ownership.release().catch(() => metrics.count("release_failures_total"));
        await membership.announce();
        await closed;
        router.releaseIdle();
        await claims.stop();
        await session.stop();
        await closeAll();
        log.write("info", 103, { host: cfg.host });
    };
    let stopping: Promise<void> | undefined;
    return {
        host: cfg.host,
        url: server.url,
        peerPort: peerServer.port,
        metrics,
        get ownedEngines() {
            return ownership.owned.map(task => task.state.engine);
        },
        crash() {
            session.abandon();
            void server.close();
            stopping = closeAll();
            return stopping;
        },
        configReached: seq =>
            new Promise(resolve => {
                const stopWaiting = config.subscribe(snapshot => {
                    if (snapshot.seq >= seq) {
                        stopWaiting();
                        resolve();
                    }
                });
                if (config.snapshot.seq >= seq) {
                    stopWaiting();
                    resolve();
                }
            }),
        describeUnfinished: () => `${router.heldCount} requests in flight`,
        ready,
        stop: () => stopping ??= stopOnce(),
    };
}
