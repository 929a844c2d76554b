import type { EngineTarget } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import type { Hasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId, Incarnation, ManualClock, Random, RequestId } from "@fulmarcleat/ids";
import type {
    CrashReport,
    EngineProbeRequest,
    EngineReachRequest,
    LimitNotice,
    PromptAnsweredRequest,
    QuarantineNotice,
    SendGrantRequest,
    StreamRecord,
} from "@fulmarcleat/wire";
import type { ClientRequest } from "./clientRequest.js";
import { createClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import { createEnginePaths } from "./createEnginePaths.js";
import { createFleetForwarding } from "./createFleetForwarding.steps.js";
import type { FleetPaths } from "./createFleetPaths.steps.js";
import type { FleetPeers, PeerHandlers } from "./createFleetPeers.steps.js";
import { createForwarder } from "./createForwarder.js";
import { createQuarantine } from "./createQuarantine.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey } from "./hostKeys.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import type { PerformanceTracker } from "./performance/createPerformanceTracker.js";
import { createRequestRunner } from "./runRequest.js";
import type { RequestRunner } from "./runRequest.js";
import type { AdapterTracker } from "./startAdapterTracker.js";
import { createStoreHealth } from "./storeHealth.js";

/** What all hosts of a fleet in memory share. */
export interface FleetParts {
    readonly clock: ManualClock;
    readonly store: StoreFake;
    readonly hash: Hasher;
    readonly paths: FleetPaths;
    readonly peers: FleetPeers;
    readonly handlersByHost: Map<HostId, PeerHandlers>;
    readonly runners: Map<HostId, RequestRunner>;
    /** Requests as clients have sent them. */
    readonly clientRequests: ReadonlyMap<RequestId, ClientRequest>;
    /** Where streams began. */
    readonly origins: Map<RequestId, StreamRecord>;
    /** What each host has learned of the speed of engines. */
    readonly performances: Map<HostId, PerformanceTracker>;
}

/** Name, failure domain and random numbers of a host. */
export interface FleetHost {
    readonly host: HostId;
    readonly domain: string;
    readonly random: Random;
}

/**
 * Starts a host of a fleet in memory; it registers itself and its handlers.
 *
 * @param fleet - What the hosts share
 * @param options - Name, failure domain and random numbers of the host
 * @returns nothing
 *
 * @example
 * startFleetHost(fleet, { host, domain: "a", random: createRandom(1) });
 */
export function startFleetHost(fleet: FleetParts, { host, domain, random }: FleetHost): void {
    const { clock, hash, store } = fleet;
    const log = { write: () => undefined };
    const context = {
        clock,
        store,
        transport: fleet.paths.createTransport(host),
        hash,
        log,
        policy: "expected_wait",
        control: {
            probe: ({ id }: EngineTarget) => fleet.paths.probe(host, id),
            connects: async ({ id }: EngineTarget) => await fleet.paths.probe(host, id) === "running",
        },
        random,
        metrics: createMetrics(),
        deployment: { host, domain },
        readBounds: () => ({
            contactMs: 3000,
            configApplyMs: 2000,
            engineDrainMs: 2000,
            retryRatio: 0.2,
            retryReserve: 56,
            retryWindowMs: 10_000,
        }),
    } as unknown as FrontContext;
    const incarnation = brandId<Incarnation>("1");
    const member = {
        incarnation,
        ip: "127.0.0.1",
        port: 1,
        domain: brandId<FailureDomain>(domain),
        forwardPort: 2,
        isLeaving: false,
    };
    store.put(formatMemberKey(host), formatMember(member));
    const view = createClusterView(context, createStoreHealth(clock, log), () => undefined);
    const adapters = {
        startRequest: () => undefined,
        finishRequest: () => undefined,
        refresh: () => Promise.resolve(false),
        find: () => ({ kind: "present" }) as const,
        countLoad: () => undefined,
        countQueuedTokens: () => undefined,
    } as unknown as AdapterTracker;
    const streamOrigins = {
        record: (record: StreamRecord) => void fleet.origins.set(record.requestId, record),
        findRequired: () => undefined,
        stop: () => undefined,
        keep: () => Promise.resolve(true),
        answer: () => ({ kind: "unknown" }) as const,
        find: (id: RequestId | undefined) => Promise.resolve(id === undefined ? undefined : fleet.origins.get(id)),
    };
    const peers = fleet.peers.connect(host);
    const loadTracker = createEngineLoadTracker(clock, createPerformanceTracker(context));
    fleet.performances.set(host, loadTracker.performance);
    const closures = createEngineClosures(context, view);
    const enginePaths = createEnginePaths(
        context,
        view,
        closures,
        () => peers,
        () => 0,
        engine => loadTracker.recordHealth(engine, { kind: "reached", atMs: clock.nowMs() }),
    );
    const quarantine = createQuarantine(context, view, () => peers, enginePaths);
    const limits = createEngineLimits(context, view, () => peers);
    fleet.handlersByHost.set(host, {
        engineCrash: (report: CrashReport) => quarantine.handleCrash(report),
        promptAnswered: (question: PromptAnsweredRequest) => quarantine.handleQuestion(question),
        quarantine(notice: QuarantineNotice) {
            quarantine.handleNotice(notice);
            return { done: true };
        },
        engineLimit: (notice: LimitNotice, from: HostId) => limits.handleNotice(notice, from),
        sendGrant: (request: SendGrantRequest, from: HostId) => limits.handleRequest(request, from),
        engineProbe: (request: EngineProbeRequest) => enginePaths.probeFor(request),
        engineReach: (request: EngineReachRequest) => enginePaths.answer(request),
    });
    const runner = createRequestRunner(
        context,
        view,
        loadTracker,
        adapters,
        streamOrigins,
        quarantine,
        limits,
        enginePaths,
        closures,
        createForwarder(
            context,
            createFleetForwarding(host, { clock, forward: fleet.peers.forward, clientRequests: fleet.clientRequests }),
            closures,
        ),
    );
    fleet.runners.set(host, runner);
}
