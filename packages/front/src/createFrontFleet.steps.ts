import type {
    AnswerFraming,
    AnswerSink,
    EngineAnswerHead,
    EngineRequest,
    NamedLimit,
    Service,
} from "@fulmarcleat/directory";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, HostId, PromptPart, RequestId } from "@fulmarcleat/ids";
import { ENGINE_PREFIX, parseAnswerHead } from "@fulmarcleat/platform";
import { listEngineHeaders } from "@fulmarcleat/platform-standin";
import type { StreamRecord } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import type { ClientRequest } from "./clientRequest.js";
import { createFleetPaths } from "./createFleetPaths.steps.js";
import { createFleetPeers } from "./createFleetPeers.steps.js";
import type { PeerHandlers } from "./createFleetPeers.steps.js";
import { createPlainRequest, createStreamRequest, drawKind, listServices } from "./createFleetRequest.steps.js";
import { createRequestDigester } from "./createRequestDigester.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import { FIRST_SERVER_ERROR } from "./describeHealth.js";
import type {
    FleetArrival,
    FleetCrash,
    FleetLimit,
    FleetNotice,
    FleetRequest,
    FleetWord,
    FrontFleet,
    FrontFleetOptions,
} from "./frontFleet.steps.js";
import { formatMemberKey } from "./hostKeys.js";
import type { PerformanceTracker } from "./performance/createPerformanceTracker.js";
import type { RequestRunner } from "./runRequest.js";
import { startFleetHost } from "./startFleetHost.steps.js";

interface SimulatedEngine {
    readonly id: EngineId;
    readonly service: Service;
    readonly exchanges: Set<AnswerSink>;
    isUp: boolean;
}

type MutableRequest = { -readonly [Key in keyof FleetRequest]: FleetRequest[Key] } & {
    reachedMs: number[];
    sentBy: HostId[];
};

/** Number of engines of each service, as the deployments have them. */
const ENGINES = 6;
/** Step of the clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 10;
/** Requests a second over all hosts. */
const REQUESTS_PER_S = 25;
/** Time after a host's end until its entry is removed, in milliseconds; the lease of its session. */
const MEMBER_TTL_MS = 6000;
/** Time from a request's arrival to the first event, in milliseconds. */
const FIRST_EVENT_MS = 120;
/** Interval between events, in milliseconds. */
const EVENT_MS = 60;
const EVENTS = 5;
/** Time from the first event, or from the arrival at a plain service, to the crash, in milliseconds. */
const CRASH_AFTER_MS = 60;
/** Time after a crash until an engine starts at another id, in milliseconds. */
const RESTART_MS = 2500;
/** Time after a crash until the engine's entry is removed, in milliseconds. */
const ENTRY_TTL_MS = 3600;
/** Time until a connection to a stopped engine is refused, in milliseconds. */
const REFUSED_MS = 2;
/** Status of an answer, and of a request that is turned away. */
const SERVED = 200;
const TURNED_AWAY = 503;
/** Time in which a plain service answers, in milliseconds. */
const PLAIN_MS = 20;
/** Time in which it answers requests that may run once only, in milliseconds; some are in flight at any moment. */
const UNSAFE_MS = 300;
/** Time after its deadline at which a request is aborted, in milliseconds. */
const DEADLINE_GRACE_MS = 80;
/** Failure domains of the hosts and engines, as many of them as the fleet has. */
const DOMAINS = "abcd";
/** Share of the sound requests of a plain service that are all the same. */
const FREQUENT_SHARE = 0.2;
const MS_PER_S = 1000;
/** Number of priorities, of which each request has one. */
const PRIORITIES = 2;
/** Parts that sound requests share: one first part, some groups below it, and sessions below these. */
const FIRST_PART = "f0";
const GROUPS = 4;
const SESSIONS = 40;
/** The part that crashes engines; it follows parts that sound requests share. */
const POISON_PART = "bad";

/**
 * Starts a fleet in memory; its clock is at a time when all hosts know each other and all engines.
 *
 * @param options - Size, seed and faults
 * @returns the fleet, without any traffic yet
 *
 * @example
 * const faults = { lostShare: 0, maxDelayMs: 5, keepsIds: false, crashIntervalMs: undefined };
 * const fleet = await createFrontFleet({ hosts: 8, seed: 1, ...faults });
 */
export async function createFrontFleet(options: FrontFleetOptions): Promise<FrontFleet> {
    const clock = createManualClock(0);
    const store = createStoreFake(clock);
    const random = createRandom(options.seed);
    const hash = await createHasher();
    const engines = new Map<EngineId, SimulatedEngine>();
    const runners = new Map<HostId, RequestRunner>();
    const clientRequests = new Map<RequestId, ClientRequest>();
    const origins = new Map<RequestId, StreamRecord>();
    const handlersByHost = new Map<HostId, PeerHandlers>();
    const arrivals: FleetArrival[] = [];
    const notices = new Map<EngineId, FleetNotice>();
    const words: FleetWord[] = [];
    const domains = new Map<HostId, string>();
    const pathRandom = createRandom(options.seed + 1);
    const nameDomain = (number: number): string => DOMAINS[number % (options.domains ?? 1)] ?? "a";
    const performances = new Map<HostId, PerformanceTracker>();
    let limit: FleetLimit | undefined;
    const requests: MutableRequest[] = [];
    const requestsById = new Map<RequestId, MutableRequest>();
    const poisonCrashesMs: number[] = [];
    const poisonCrashes: FleetCrash[] = [];
    const digestRequest = createRequestDigester(() => "key");
    let startedEngines = 0;
    let isPoisonous = true;

    const startEngine = (service: Service, formerId?: EngineId): void => {
        const zone = nameDomain(startedEngines);
        startedEngines += 1;
        const id = formerId ?? brandId<EngineId>(`i-${startedEngines}`);
        engines.set(id, { id, service, exchanges: new Set(), isUp: true });
        const born = clock.nowMs();
        const entry = { service: service.name, address: "127.0.0.1:1", zone, slots: 64, state: "ready", born };
        store.put(ENGINE_PREFIX + id, Buffer.from(JSON.stringify(entry)));
    };
    const crash = (engine: SimulatedEngine, restartMs = RESTART_MS): void => {
        if (!engine.isUp) {
            return;
        }
        engine.isUp = false;
        [...engine.exchanges].forEach(sink => sink.fail({ kind: "broken", reason: "UND_ERR_SOCKET" }));
        engine.exchanges.clear();
        clock.setTimer(restartMs, () => startEngine(engine.service, options.keepsIds ? engine.id : undefined));
        clock.setTimer(ENTRY_TTL_MS, () => {
            if (engines.get(engine.id) === engine) {
                store.remove(ENGINE_PREFIX + engine.id);
            }
        });
    };
    const nameLimit = (id: EngineId): NamedLimit =>
        limit !== undefined && [...engines.keys()].indexOf(id) < limit.engines
            ? { kind: "rate", perSecond: limit.perSecond }
            : { kind: "none" };
    /** Builds the head of an engine's answer, with what it says of further work. */
    const createHead = (
        host: HostId,
        { requestId }: EngineRequest,
        engine: SimulatedEngine,
        status: number,
    ): EngineAnswerHead => {
        const notice = notices.get(engine.id);
        if (notice !== undefined) {
            words.push({ engine: engine.id, host, atMs: clock.nowMs(), notice });
        }
        const headers = listEngineHeaders({
            requestId,
            isNotRun: status === TURNED_AWAY,
            isLeaving: notice?.kind === "leaving",
            retryAfter: notice?.kind === "pausing" ? String((notice.untilMs - clock.nowMs()) / MS_PER_S) : undefined,
        });
        const { workPercent } = options;
        const head = { ...parseAnswerHead(status, headers), limit: nameLimit(engine.id) };
        return workPercent === undefined ? head : { ...head, load: { running: 1, waiting: 0, slots: 64, workPercent } };
    };
    const isPausing = ({ id }: SimulatedEngine): boolean => {
        const notice = notices.get(id);
        return notice?.kind === "pausing" && notice.untilMs > clock.nowMs();
    };
    const answer = (host: HostId, req: EngineRequest, sink: AnswerSink, engine: SimulatedEngine): void => {
        const request = requestsById.get(req.requestId);
        const isInFlight = (): boolean => engine.exchanges.has(sink);
        const sendEvent = (event: number): void => {
            if (!isInFlight()) {
                return;
            }
            if (event > EVENTS) {
                engine.exchanges.delete(sink);
                sink.end();
                return;
            }
            sink.piece(Buffer.from(`id: ${event}\n\n`));
            clock.setTimer(EVENT_MS, () => sendEvent(event + 1));
        };
        const crashAfter = (crashing: FleetRequest): void =>
            void clock.setTimer(CRASH_AFTER_MS, () => {
                if (isInFlight()) {
                    poisonCrashesMs.push(clock.nowMs());
                    poisonCrashes.push({ name: crashing.name, atMs: clock.nowMs() });
                    crash(engine);
                }
            });
        const headFor = (framing: AnswerFraming): EngineAnswerHead => ({
            ...createHead(host, req, engine, SERVED),
            framing,
        });
        if (isPausing(engine)) {
            clock.setTimer(REFUSED_MS, () => {
                if (isInFlight()) {
                    engine.exchanges.delete(sink);
                    sink.head(createHead(host, req, engine, TURNED_AWAY));
                    sink.end();
                }
            });
            return;
        }
        if (request !== undefined && request.kind !== "streaming") {
            if (request.isPoison && isPoisonous) {
                crashAfter(request);
                return;
            }
            clock.setTimer(request.kind === "unsafe" ? UNSAFE_MS : PLAIN_MS, () => {
                if (isInFlight()) {
                    engine.exchanges.delete(sink);
                    request.hasBegun = true;
                    sink.head(headFor("length"));
                    sink.end();
                }
            });
            return;
        }
        clock.setTimer(FIRST_EVENT_MS, () => {
            if (request === undefined || !isInFlight()) {
                return;
            }
            request.hasBegun = true;
            sink.head(headFor("chunks"));
            if (request.isPoison && isPoisonous) {
                sink.piece(Buffer.from("id: "));
                crashAfter(request);
                return;
            }
            sendEvent(Number(req.lastEventId ?? 0) + 1);
        });
    };
    const deliver = (host: HostId, req: EngineRequest, sink: AnswerSink): () => void => {
        const engine = engines.get(req.target.id);
        if (engine?.isUp !== true) {
            return clock.setTimer(REFUSED_MS, () => sink.fail({ kind: "unsent", reason: "ECONNREFUSED" }));
        }
        const request = requestsById.get(req.requestId);
        request?.reachedMs.push(clock.nowMs());
        request?.sentBy.push(host);
        arrivals.push({ engine: engine.id, host, atMs: clock.nowMs(), sentMs: request?.sentMs ?? clock.nowMs() });
        engine.exchanges.add(sink);
        answer(host, req, sink, engine);
        return () => void engine.exchanges.delete(sink);
    };
    const paths = createFleetPaths({
        clock,
        random: pathRandom,
        deliver,
        readService: id => engines.get(id)?.service.name,
        probeEngine: id => engines.get(id)?.isUp === true ? "running" : "gone",
    });
    const peers = createFleetPeers({
        ...options,
        clock,
        random,
        forwardRandom: pathRandom,
        handlersByHost,
        runners,
    });
    const startHost = (number: number): void => {
        const host = brandId<HostId>(`host-${number}`);
        const domain = nameDomain(number);
        domains.set(host, domain);
        startFleetHost(
            { clock, store, hash, paths, peers, handlersByHost, runners, clientRequests, origins, performances },
            { host, domain, random: createRandom(options.seed * 1000 + number) },
        );
    };
    const drawParts = (isPoison: boolean): readonly PromptPart[] => {
        const session = Math.floor(SESSIONS * random.next());
        const parts = isPoison
            ? [FIRST_PART, "g1", POISON_PART]
            : [FIRST_PART, `g${session % GROUPS}`, `s${session}`];
        return parts.map(part => brandId<PromptPart>(part));
    };
    const drawName = (isPoison: boolean): string => {
        if (options.plain !== undefined && isPoison) {
            return `poison-${Math.floor(options.plain.poisonKinds * random.next())}`;
        }
        return options.plain !== undefined && random.next() < FREQUENT_SHARE ? "frequent" : `r${requests.length}`;
    };
    const sendRequest = (isPoison: boolean, name: string): void => {
        const host = [...runners.keys()][Math.floor(runners.size * random.next())];
        const requestId = brandId<RequestId>(`r${requests.length}`);
        const request: MutableRequest = {
            name,
            isPoison,
            priority: Math.floor(PRIORITIES * random.next()),
            host,
            ...drawKind(options, random),
            sentMs: clock.nowMs(),
            reachedMs: [],
            sentBy: [],
            hasBegun: false,
            isAnswered: false,
            refusal: undefined,
            readyInMs: undefined,
            heldMs: undefined,
        };
        requests.push(request);
        requestsById.set(requestId, request);
        const content = { method: "GET", hostName: "a.example", path: `/${name}`, body: Buffer.alloc(0) };
        const digest = digestRequest(content);
        const deadline = new AbortController();
        const clientRequest = request.kind === "streaming"
            ? createStreamRequest(request, requestId, digest, drawParts(isPoison), deadline.signal)
            : createPlainRequest(request, requestId, digest, deadline.signal);
        clientRequests.set(requestId, clientRequest);
        const graceMs = clientRequest.deadlineAtMs - clock.nowMs() + DEADLINE_GRACE_MS;
        const cancelDeadline = clock.setTimer(graceMs, () => deadline.abort());
        void (host === undefined ? undefined : runners.get(host))?.run(clientRequest).then(end => {
            cancelDeadline();
            request.heldMs = clock.nowMs() - request.sentMs;
            request.isAnswered = end.kind === "relayed"
                || end.kind === "answer" && end.result.head.status < FIRST_SERVER_ERROR;
            if (end.kind === "gave_up") {
                request.refusal = end.reason;
                request.readyInMs = end.readyInMs;
            }
        });
    };
    const sendRequests = (isPoison: boolean): void => {
        const name = drawName(isPoison);
        for (let copy = 0; copy < (isPoison ? options.copies ?? 1 : 1); copy += 1) {
            sendRequest(isPoison, name);
        }
    };
    const advance = async (ms: number): Promise<void> => {
        for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
            clock.advance(STEP_MS);
            await setImmediate();
        }
    };
    const crashOne = (): void => {
        const running = [...engines.values()].filter(engine => engine.isUp);
        const engine = running[Math.floor(running.length * random.next())];
        if (engine !== undefined) {
            crash(engine);
        }
        clock.setTimer(options.crashIntervalMs ?? Infinity, crashOne);
    };
    for (const service of listServices(options)) {
        for (let engine = 0; engine < ENGINES; engine += 1) {
            startEngine(service);
        }
    }
    for (let host = 0; host < options.hosts; host += 1) {
        startHost(host);
    }
    await advance(3000);
    if (options.crashIntervalMs !== undefined) {
        clock.setTimer(options.crashIntervalMs, crashOne);
    }
    return {
        clock,
        store,
        requests,
        poisonCrashesMs,
        poisonCrashes,
        arrivals,
        get engineIds() {
            return [...engines.keys()];
        },
        get hosts() {
            return [...runners.keys()];
        },
        setLimit: next => void (limit = next),
        setNotice: (ids, notice) =>
            ids.forEach(id => notice === undefined ? notices.delete(id) : notices.set(id, notice)),
        words,
        stopHost(host) {
            runners.delete(host);
            handlersByHost.delete(host);
            clock.setTimer(MEMBER_TTL_MS, () => store.remove(formatMemberKey(host)));
        },
        async play(lengthMs, poisonShare) {
            for (let passedMs = 0; passedMs < lengthMs; passedMs += STEP_MS) {
                if (random.next() < (options.requestsPerS ?? REQUESTS_PER_S) * STEP_MS / MS_PER_S) {
                    sendRequests(random.next() < poisonShare);
                }
                await advance(STEP_MS);
            }
        },
        wait: advance,
        setPoisonous: next => void (isPoisonous = next),
        crashAll: () => [...engines.values()].forEach(engine => crash(engine)),
        stopEngines: service =>
            [...engines.values()].filter(engine => engine.service.name === service)
                .forEach(engine => crash(engine, Infinity)),
        cutHosts: paths.cut,
        healHosts: paths.heal,
        handovers: peers.handovers,
        performances,
        readDomain: host => domains.get(host) ?? "",
        async addHost() {
            startHost(runners.size);
            await advance(MS_PER_S);
        },
    };
}
