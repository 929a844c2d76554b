import type { EngineEntry, KnownEngine } from "@fulmarcleat/directory";
import type { AdapterPresence } from "@fulmarcleat/dispatch";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { repeat, sleep } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId } from "@fulmarcleat/ids";
import { isNewEnough } from "@fulmarcleat/residency";
import type {
    AdapterLoadReply,
    AdapterLoadRequest,
    HostUsageReply,
    HostUsageReport,
    OwnerReport,
    PeerAddress,
    PeerClient,
} from "@fulmarcleat/wire";
import { findInEntry } from "./adapters/findInEntry.js";
import { recordLoading } from "./adapters/recordLoading.js";
import type { ReceivedReport } from "./adapters/recordLoading.js";
import type { ClusterView } from "./createClusterView.js";
import type { EngineLoadTracker } from "./createEngineLoadTracker.js";
import type { LoadRequestOutbox } from "./createLoadRequestOutbox.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import type { LoadTimes } from "./performance/createLoadTimes.js";
import { runEach } from "./runEach.js";
import type { Ownership } from "./startOwnership.js";

/** The adapter that a request needs. */
export interface RequestedAdapter {
    readonly model: BaseModel;
    readonly adapter: AdapterName;
    /** Oldest acceptable version; undefined for any. */
    readonly version: number | undefined;
}

/** How long a request can wait for an adapter. */
export interface AdapterWait {
    /** Longest wait, in milliseconds. */
    readonly waitMs: number;
    /** Time left until the request's latency goal, in milliseconds; negative if the goal has passed. */
    readonly dueInMs: number;
}

/** Tracks which adapters engines hold and requests adapters from engines' owners. */
export interface AdapterTracker {
    /**
     * Requests new owner reports for engines whose last report is older than `maxAgeMs`, in milliseconds.
     * Returns whether any was requested; if an owner is slow to answer, its last report is used.
     */
    refresh(engines: readonly EngineId[], maxAgeMs?: number): Promise<boolean>;
    /** Returns whether an engine holds an adapter, according to its owner's last report. */
    find(entry: EngineEntry, requestedAdapter: RequestedAdapter | undefined): AdapterPresence;
    /** Requests in flight on an engine over all hosts, as its owner reports. */
    countLoad(engine: EngineId): number | undefined;
    /** Prompt tokens that wait for processing on an engine over all hosts, as its owner reports. */
    countQueuedTokens(engine: EngineId): number | undefined;
    /** Tokens that requests in flight hold at most in an engine's memory over all hosts, as its owner reports. */
    countHeldTokens(engine: EngineId): number | undefined;
    /** Prompt tokens sent to an engine of late over all hosts, per second, as its owner reports. */
    readPromptRate(engine: EngineId): number | undefined;
    /** Requests an adapter on an engine from the engine's owner. */
    requestLoad(
        entry: EngineEntry,
        requestedAdapter: RequestedAdapter,
        wait: AdapterWait,
        isMissing: boolean,
    ): Promise<AdapterLoadReply>;
    /** Records that a request was sent to an engine. */
    startRequest(engine: EngineId, adapter: AdapterName | undefined, promptTokens?: number): void;
    /** Records that a request on an engine ended. */
    finishRequest(engine: EngineId, adapter: AdapterName | undefined): void;
    /** Answers a load request of another host; relays it once if this host does not own the engine. */
    handleLoadRequest(loadRequest: AdapterLoadRequest): Promise<AdapterLoadReply>;
    /** Answers a usage report of another host; relays it once if this host does not own the engine. */
    handleUsageReport(usageReport: HostUsageReport): Promise<HostUsageReply>;
    /** Stops the usage reports. */
    stop(): void;
}

/** This host's requests in flight on one engine. */
interface OwnUsage {
    readonly inFlight: Map<AdapterName, number>;
    total: number;
    /** Adapters of the requests that started since the last usage report. */
    started: AdapterName[];
    /** Their prompt tokens. */
    startedTokens: number;
    isChanged: boolean;
    reportedAtMs: number;
    isReporting: boolean;
}

/** Interval of usage reports to an owner while requests start and end, in milliseconds. */
const REPORT_INTERVAL_MS = 90;
/** Interval of usage reports to an owner while requests are in flight and none starts or ends, in milliseconds. */
const UNCHANGED_REPORT_INTERVAL_MS = 1000;
/** Age above which an owner report is renewed before a choice, in milliseconds; above the interval of usage reports. */
const MAX_REPORT_AGE_MS = 1300;
/** Longest time that a choice waits for owner reports, in milliseconds; hosts are a few milliseconds apart. */
const MAX_REFRESH_WAIT_MS = 25;
/** How long an owner report is used, in milliseconds. */
const REPORT_VALID_MS = 4000;
/** Expected wait until an older version that requests are using can be replaced, in milliseconds. */
const REPLACE_WAIT_MS = 2000;
/** Longest time until a peer answers, in milliseconds; the wait of a load request at its owner is added. */
const PEER_TIMEOUT_MS = 450;
/** Extra time of a load while its owner is unreachable and may have failed, in milliseconds; near half its lease. */
const UNREACHABLE_OWNER_DELAY_MS = 1000;
/** Expected time of a load that is requested through the store, in milliseconds. */
const LOAD_VIA_STORE_MS = 450;

/**
 * Starts tracking the adapters on engines, and reports this host's requests in flight to the engines' owners.
 *
 * @param context - Clock, log and metrics
 * @param clusterView - Engines, live hosts and owner keys
 * @param ownership - Engines that this host owns
 * @param loadTracker - Prompt tokens that wait for processing on each engine
 * @param outbox - Passes load requests through the store if the owner is unreachable
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param loadTimes - Told how long adapter loads take at other hosts' engines
 * @returns the tracker
 *
 * @example
 * const adapters = startAdapterTracker(context, clusterView, ownership, loadTracker, outbox, () => peers);
 */
export function startAdapterTracker(
    context: FrontContext,
    clusterView: ClusterView,
    ownership: Ownership,
    loadTracker: EngineLoadTracker,
    outbox: LoadRequestOutbox,
    readPeers: () => PeerClient | undefined,
    loadTimes: Pick<LoadTimes, "learn"> = { learn: () => undefined },
): AdapterTracker {
    const { clock, deployment, hash, log, metrics } = context;
    const ownerReports = new Map<EngineId, ReceivedReport>();
    const usageByEngine = new Map<EngineId, OwnUsage>();

    const getOrCreateUsage = (engine: EngineId): OwnUsage => {
        const existing = usageByEngine.get(engine);
        if (existing !== undefined) {
            return existing;
        }
        const usage = {
            inFlight: new Map(),
            total: 0,
            started: [],
            startedTokens: 0,
            isChanged: false,
            reportedAtMs: -Infinity,
            isReporting: false,
        };
        usageByEngine.set(engine, usage);
        return usage;
    };
    const findOwner = (engine: EngineId): PeerAddress | undefined => {
        if (ownership.isFenced(engine)) {
            return findRelay(engine);
        }
        const claim = clusterView.claims.current.get(engine);
        const member = claim === undefined
            ? ownership.findHolder(engine)
            : claim.isReleased || claim.hasLostPath
            ? undefined
            : clusterView.members.get(claim.host);
        return member === undefined ? undefined : toAddress(member);
    };
    /** Picks another reachable host, which may know an owner that this host does not know yet. */
    const findRelay = (engine: EngineId): PeerAddress | undefined => {
        const others = [...clusterView.members.values()].filter(member =>
            member.host !== deployment.host && !outbox.isUnreachable(member.host)
        );
        const first = rankByRendezvous(hash, engine, others.map(member => member.host))[0];
        const member = first === undefined ? undefined : clusterView.members.get(first);
        return member === undefined ? undefined : toAddress(member);
    };
    const recordOwnerReport = (engine: EngineId, report: OwnerReport): void => {
        if (report.loadMs !== undefined) {
            loadTimes.learn(report.loadMs);
        }
        ownerReports.set(engine, { report, atMs: clock.nowMs() });
        if (report.pace !== undefined) {
            loadTracker.performance.recordOwnerPace(engine, report.pace);
        }
    };
    const handleUsageReport = async (usageReport: HostUsageReport): Promise<HostUsageReply> => {
        const task = ownership.find(usageReport.engine);
        const owner = findOwner(usageReport.engine);
        if (task === undefined) {
            return usageReport.isRelayed || owner === undefined || owner.host === deployment.host
                ? { kind: "not_owner" }
                : await readPeers()?.request(owner, "engineUse", { ...usageReport, isRelayed: true }, PEER_TIMEOUT_MS)
                    ?? { kind: "not_owner" };
        }
        const { host, started, seen } = usageReport;
        const usage = { ...usageReport, atMs: clock.nowMs(), inFlight: new Map(usageReport.inFlight) };
        return { kind: "word", ...task.recordHostUsage(host, usage, started, seen) };
    };
    const reportToOwner = async (engine: EngineId, usage: OwnUsage): Promise<void> => {
        const seen = loadTracker.performance.takeSeen(engine);
        const entry = clusterView.engines.get(engine)?.entry;
        const isLearning = entry !== undefined && loadTracker.performance.isLearning(entry.service);
        const usageReport: HostUsageReport = {
            host: deployment.host,
            isRelayed: false,
            engine,
            inFlight: [...usage.inFlight],
            total: usage.total,
            queuedTokens: loadTracker.countQueuedTokens(engine),
            started: usage.started,
            ...(isLearning
                ? { heldTokens: loadTracker.countHeldTokens(engine), startedTokens: usage.startedTokens }
                : {}),
            ...(seen === undefined ? {} : { seen }),
        };
        usage.started = [];
        usage.startedTokens = 0;
        usage.isChanged = false;
        usage.reportedAtMs = clock.nowMs();
        if (ownership.find(engine) !== undefined) {
            const reply = await handleUsageReport(usageReport);
            if (reply.kind === "word") {
                recordOwnerReport(engine, reply);
            }
            return;
        }
        const owner = findOwner(engine);
        const peers = readPeers();
        if (owner === undefined || peers === undefined || owner.host === deployment.host) {
            return;
        }
        usage.isReporting = true;
        try {
            const reply = await peers.request(owner, "engineUse", usageReport, PEER_TIMEOUT_MS);
            if (reply.kind === "word") {
                recordOwnerReport(engine, reply);
            }
        }
        catch (err) {
            metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
            outbox.markUnreachable(owner.host);
        }
        finally {
            usage.isReporting = false;
        }
    };
    const reportIfDue = ({ entry }: KnownEngine): void => {
        if (clusterView.config?.services.get(entry.service)?.engine === undefined) {
            return;
        }
        const usage = usageByEngine.get(entry.id);
        if (usage === undefined || usage.isReporting) {
            return;
        }
        const isDue = usage.total > 0 && clock.nowMs() - usage.reportedAtMs >= UNCHANGED_REPORT_INTERVAL_MS;
        if (usage.isChanged || isDue) {
            void reportToOwner(entry.id, usage);
        }
    };
    const cancelReports = repeat(
        clock,
        REPORT_INTERVAL_MS,
        () => runEach(log, "report usage", clusterView.engines.values(), ({ entry }) => entry.id, reportIfDue),
    );
    clusterView.onLoadRequests(loadRequests =>
        loadRequests.filter(loadRequest => ownership.find(loadRequest.engine) !== undefined).forEach(loadRequest =>
            void handleLoadRequest(loadRequest)
        )
    );
    clusterView.onEngineRemoved(entry => {
        ownerReports.delete(entry.id);
        usageByEngine.delete(entry.id);
        loadTracker.remove(entry.id);
    });
    const updateUsage = (engine: EngineId, adapter: AdapterName | undefined, change: 1 | -1): void => {
        const usage = getOrCreateUsage(engine);
        usage.total += change;
        usage.isChanged = true;
        if (adapter !== undefined) {
            const count = (usage.inFlight.get(adapter) ?? 0) + change;
            if (count <= 0) {
                usage.inFlight.delete(adapter);
            }
            else {
                usage.inFlight.set(adapter, count);
            }
            if (change === 1) {
                usage.started.push(adapter);
            }
        }
    };
    const findValidReport = (engine: EngineId): OwnerReport | undefined => {
        const received = ownerReports.get(engine);
        return received === undefined || clock.nowMs() - received.atMs > REPORT_VALID_MS ? undefined : received.report;
    };
    const handleLoadRequest = async (loadRequest: AdapterLoadRequest): Promise<AdapterLoadReply> => {
        const task = ownership.find(loadRequest.engine);
        if (task === undefined) {
            return loadRequest.isRelayed
                ? { kind: "refused", reason: "not_owner" }
                : requestFromOwner(
                    readPeers(),
                    findOwner(loadRequest.engine),
                    { ...loadRequest, isRelayed: true },
                    outbox,
                    context,
                );
        }
        const sinceMs = clock.nowMs();
        const pendingLoad = {
            version: loadRequest.version,
            dueMs: sinceMs + loadRequest.dueInMs,
            sinceMs,
            untilMs: sinceMs + loadRequest.waitMs,
        };
        return task.requestLoad(loadRequest.adapter, pendingLoad, loadRequest.isMissing);
    };
    const isStale = (engine: EngineId, atMs: number, maxAgeMs: number): boolean => {
        if (atMs - (ownerReports.get(engine)?.atMs ?? -Infinity) <= maxAgeMs) {
            return false;
        }
        const owner = findOwner(engine);
        return owner !== undefined && !outbox.isUnreachable(owner.host);
    };
    return {
        async refresh(engines, maxAgeMs = MAX_REPORT_AGE_MS) {
            const atMs = clock.nowMs();
            const stale: Promise<void>[] = [];
            for (const engine of engines) {
                const usage = getOrCreateUsage(engine);
                if (!usage.isReporting && isStale(engine, atMs, maxAgeMs)) {
                    stale.push(reportToOwner(engine, usage));
                }
            }
            if (stale.length === 0) {
                return false;
            }
            await Promise.race([Promise.all(stale), sleep(clock, MAX_REFRESH_WAIT_MS)]);
            return true;
        },
        find(entry, requestedAdapter) {
            if (requestedAdapter === undefined) {
                return entry.models.length > 0
                    ? { kind: "present" }
                    : { kind: "absent", placeWaitMs: 0, canLoad: true };
            }
            const received = ownerReports.get(entry.id);
            const atMs = clock.nowMs();
            const isOwn = ownership.find(entry.id) !== undefined;
            const owner = isOwn ? undefined : findOwner(entry.id);
            const canLoad = isOwn || owner !== undefined;
            const ownerWaitMs = owner !== undefined && outbox.isUnreachable(owner.host)
                ? UNREACHABLE_OWNER_DELAY_MS
                : 0;
            if (received === undefined || atMs - received.atMs > REPORT_VALID_MS) {
                return findInEntry(entry, requestedAdapter, { canLoad, placeWaitMs: ownerWaitMs });
            }
            const held = received.report.adapters.find(reported => reported.adapter === requestedAdapter.adapter);
            if (held === undefined) {
                return { kind: "absent", placeWaitMs: received.report.placeWaitMs + ownerWaitMs, canLoad };
            }
            if (!isNewEnough(held.version, requestedAdapter.version)) {
                return { kind: "absent", placeWaitMs: held.isUsed ? REPLACE_WAIT_MS : 0, canLoad };
            }
            const readyInMs = held.readyInMs - (atMs - received.atMs);
            return held.readyInMs === 0 || readyInMs <= 0 ? { kind: "present" } : { kind: "coming", readyInMs };
        },
        countLoad: engine => findValidReport(engine)?.load,
        countQueuedTokens: engine => findValidReport(engine)?.queuedTokens,
        countHeldTokens: engine => findValidReport(engine)?.heldTokens,
        readPromptRate: engine => findValidReport(engine)?.promptTokensPerS,
        async requestLoad(entry, requestedAdapter, { waitMs, dueInMs }, isMissing) {
            const { adapter, model, version } = requestedAdapter;
            const loadRequest = {
                engine: entry.id,
                model,
                adapter,
                version,
                dueInMs,
                waitMs,
                isMissing,
                isRelayed: false,
            };
            log.write("info", 310, { engine: entry.id, adapter, version, waitMs: Math.round(waitMs), isMissing });
            const reply = ownership.find(entry.id) === undefined
                ? await requestFromOwner(readPeers(), findOwner(entry.id), loadRequest, outbox, context)
                : await handleLoadRequest(loadRequest);
            if (reply.kind === "ready") {
                recordLoading(ownerReports, entry.id, requestedAdapter, reply.inMs, clock.nowMs());
            }
            return reply;
        },
        startRequest(engine, adapter, promptTokens = 0) {
            updateUsage(engine, adapter, 1);
            getOrCreateUsage(engine).startedTokens += promptTokens;
        },
        finishRequest: (engine, adapter) => updateUsage(engine, adapter, -1),
        handleLoadRequest,
        handleUsageReport,
        stop: cancelReports,
    };
}

function toAddress({ host, ip, port }: Member): PeerAddress {
    return { host, address: ip, port };
}

const INTERNAL = { code: "internal", step: "tell owner", peer: "self", outcome: "not_run" } as const;

async function requestFromOwner(
    peers: PeerClient | undefined,
    owner: PeerAddress | undefined,
    loadRequest: AdapterLoadRequest,
    outbox: LoadRequestOutbox,
    { log, metrics }: FrontContext,
): Promise<AdapterLoadReply> {
    if (peers === undefined || owner === undefined) {
        return { kind: "refused", reason: "not_owner" };
    }
    if (outbox.isUnreachable(owner.host)) {
        outbox.enqueue(loadRequest);
        return { kind: "ready", inMs: LOAD_VIA_STORE_MS };
    }
    try {
        return await peers.request(owner, "adapterLoad", loadRequest, loadRequest.waitMs + PEER_TIMEOUT_MS);
    }
    catch (err) {
        const { step, message } = toServeError(err, INTERNAL);
        metrics.count("peer_failures_total", { step });
        log.write("warn", 304, {
            engine: loadRequest.engine,
            adapter: loadRequest.adapter,
            peer: owner.host,
            reason: message,
        });
        outbox.markUnreachable(owner.host);
        outbox.enqueue(loadRequest);
        return { kind: "ready", inMs: LOAD_VIA_STORE_MS };
    }
}
