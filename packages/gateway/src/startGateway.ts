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
    Empty,
    PeerHello,
    PlaceAsk,
    PlaceReply,
    PlacesHeldAsk,
    PlacesHeldReply,
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
import { listOwnable } from "./listOwnable.js";
import { prepareCounters } from "./prepareCounters.js";
import { startConfigSpread } from "./startConfigSpread.js";
import { startGatewayClaims } from "./startGatewayClaims.js";
import { startSessionTask } from "./startSessionTask.js";

/** A running gateway. */
export interface Gateway {
    readonly host: HostId;
    readonly url: string;
    readonly peerPort: number;
    readonly metrics: Metrics;
    readonly ownedEngines: readonly EngineId[];
    readonly ready: Promise<void>;
    /** Ends at once without a word to anybody, as a host that fails does. */
    crash(): Promise<void>;
    /** Planned stop: no new work, running answers finish, engines are given up. */
    stop(): Promise<void>;
    /** What a stop at its limit would cut off, in words. */
    describeUnfinished(): string;
    /** Resolves once this host's configuration holds a change. */
    configReached(seq: number): Promise<void>;
}

const MAX_DECISIONS = 10_000;
const DONE: Empty = { done: true };

/**
 * Starts a gateway with all its tasks.
 *
 * @param cfg - Checked settings
 * @param decisions - The policy's decisions
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
    prepareCounters(metrics);
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
        fetch: ask => fetchConfig({ membership, peers, host: cfg.host, ask, timeoutMs: cfg.silenceMs }),
        retryMs: cfg.helloMs,
    });
    const index = buildOfferIndex(config.snapshot);
    config.subscribe((snapshot, changes) => index.update(snapshot, changes));
    const ensureDriver = (entry: ConfiguredEngine): EngineDriver => {
        const present = drivers.get(entry.engine);
        if (present?.url === entry.url) {
            return present.driver;
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
        onReplaced: (host, former) => ownership.hostReplaced(host, former),
    });
    const spread = startConfigSpread({
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
            adapter: PlaceAsk["adapter"] | undefined;
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
    const askPeer = (host: HostId) => {
        const member = membership.find(host);
        if (member === undefined) {
            throw new ServeError("the host is not known", {
                code: "peer_failed",
                step: "find peer",
                peer: host,
                outcome: "not_run",
            });
        }
        return member;
    };
    const share = (): LoadShare =>
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
        budget: createLoadBudgetTask(clock, () => share()),
        claimMs: cfg.claimMs,
        reportMs: cfg.reportMs,
        orderMs: cfg.orderMs,
        leaseMs: cfg.leaseMs,
        listEngines: () => listOwnable(index.engines, readPolicy(config.snapshot), ensureDriver),
        listHosts: () => membership.liveHosts,
        listHolders: () => membership.members.map(member => member.host),
        findAnnounced: engine => findAnnounced(engine),
        isSessionTrusted: () => session.isTrusted(),
        sessionOpenedMs: () => session.openedMs,
        askHeld: (host, ask) =>
            host === cfg.host
                ? Promise.resolve(describeHeld(ask))
                : peers.ask(askPeer(host), "placesHeld", ask, cfg.silenceMs),
        chooseReplicas,
        decisions,
        popularity: createPopularityTable(DEFAULT_POPULARITY),
        readWeight: caller => readResource(config.snapshot, "Caller", caller)?.spec.weight ?? 1,
        recordDecision,
    });
    const findAnnounced = (engine: EngineId): HostId | undefined =>
        membership.members.find(member =>
            member.host !== cfg.host && member.state !== "silent" && member.ownedEngines.includes(engine)
        )?.host;
    const findOwner = (engine: EngineId): HostId | undefined => {
        if (ownership.find(engine)?.state.phase === "owned") {
            return cfg.host;
        }
        return findAnnounced(engine);
    };
    const describeHeld = (ask: PlacesHeldAsk): PlacesHeldReply => {
        ownership.fenceSeen(ask.engine, ask.fence);
        return router.describeHeld(ask);
    };
    const answerPlace = (ask: PlaceAsk): Promise<PlaceReply> => {
        const task = ownership.find(ask.engine);
        return task === undefined || task.state.phase !== "owned"
            ? Promise.resolve({ kind: "not_owner", owner: undefined })
            : task.ask(ask);
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
        ask: (owner, ask) =>
            owner === cfg.host ? answerPlace(ask) : peers.ask(askPeer(owner), "place", ask, ask.waitMs + cfg.silenceMs),
        end: async (owner, end) => {
            if (owner === cfg.host) {
                ownership.find(end.engine)?.end(end);
                return;
            }
            await peers.ask(askPeer(owner), "placeEnd", end, cfg.silenceMs);
        },
    });
    const claims = startGatewayClaims(cfg, {
        incarnation,
        kv,
        hash,
        clock,
        metrics,
        readPolicy: () => readPolicy(config.snapshot),
        listLive: () => membership.liveHosts,
        askPeer: (host, ask, timeoutMs) => peers.ask(askPeer(host), "claim", ask, timeoutMs),
        endPeer: (host, end) => peers.ask(askPeer(host), "claimEnd", end, cfg.helloMs),
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
            hello: ask => Promise.resolve(membership.handleHello(ask)),
            place: answerPlace,
            placeEnd: ask => {
                ownership.find(ask.engine)?.end(ask);
                return Promise.resolve(DONE);
            },
            claim: claims.handleAsk,
            claimEnd: end => {
                claims.handleEnd(end);
                return Promise.resolve(DONE);
            },
            placesHeld: ask => Promise.resolve(describeHeld(ask)),
            status: () => Promise.resolve(describeStatus()),
            configPush: ask => Promise.resolve(config.takePush(ask)),
            configFetch: ask => Promise.resolve(config.answerFetch(ask)),
            explain: ask => Promise.resolve({ decisions: decisionLog.find(ask) }),
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
        spread.stop();
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
        describeUnfinished: () => `${router.heldCount} running answers`,
        ready,
        stop: () => stopping ??= stopOnce(),
    };
}
