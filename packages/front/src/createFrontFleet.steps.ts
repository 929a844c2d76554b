import type {
    AnswerFraming,
    AnswerSink,
    EngineAnswerHead,
    EngineProbe,
    EngineRequest,
    EngineTarget,
    EngineTransport,
    NamedLimit,
} from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, PromptPart, RequestId } from "@fulmarcleat/ids";
import { ENGINE_PREFIX } from "@fulmarcleat/platform";
import type {
    CrashReport,
    LimitNotice,
    PeerClient,
    PromptAnsweredRequest,
    QuarantineNotice,
    SendGrantRequest,
} from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import { createClusterView } from "./createClusterView.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import { createPlainRequest, createStreamRequest, SERVICE } from "./createFleetRequest.steps.js";
import { createQuarantine } from "./createQuarantine.js";
import { createRequestDigester } from "./createRequestDigester.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import { NO_LOST_PATHS } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import type {
    FleetArrival,
    FleetCrash,
    FleetLimit,
    FleetRequest,
    FrontFleet,
    FrontFleetOptions,
} from "./frontFleet.steps.js";
import { formatMember, formatMemberKey } from "./hostKeys.js";
import { NO_FORWARDER } from "./noForwarder.steps.js";
import { createRequestRunner } from "./runRequest.js";
import type { RequestRunner } from "./runRequest.js";
import type { AdapterTracker } from "./startAdapterTracker.js";
import { createStoreHealth } from "./storeHealth.js";

interface SimulatedEngine {
    readonly id: EngineId;
    readonly exchanges: Set<AnswerSink>;
    isUp: boolean;
}

type MutableRequest = { -readonly [Key in keyof FleetRequest]: FleetRequest[Key] } & { reachedMs: number[] };

/** Number of engines, as the deployments have them. */
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
/** Time until a lost message between hosts counts as failed, in milliseconds. */
const PEER_TIMEOUT_MS = 200;
/** Time in which a plain service answers, in milliseconds. */
const PLAIN_MS = 20;
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
    const handlersByHost = new Map<HostId, Readonly<Record<string, (body: never, from: HostId) => unknown>>>();
    const arrivals: FleetArrival[] = [];
    let limit: FleetLimit | undefined;
    const requests: MutableRequest[] = [];
    const requestsById = new Map<RequestId, MutableRequest>();
    const poisonCrashesMs: number[] = [];
    const poisonCrashes: FleetCrash[] = [];
    const digestRequest = createRequestDigester(() => "key");
    let startedEngines = 0;
    let isPoisonous = true;

    const startEngine = (formerId?: EngineId): void => {
        startedEngines += 1;
        const id = formerId ?? brandId<EngineId>(`i-${startedEngines}`);
        engines.set(id, { id, exchanges: new Set(), isUp: true });
        const born = clock.nowMs();
        const entry = { service: SERVICE.name, address: "127.0.0.1:1", zone: "a", slots: 64, state: "ready", born };
        store.put(ENGINE_PREFIX + id, Buffer.from(JSON.stringify(entry)));
    };
    const crash = (engine: SimulatedEngine): void => {
        if (!engine.isUp) {
            return;
        }
        engine.isUp = false;
        [...engine.exchanges].forEach(sink => sink.fail({ kind: "broken", reason: "UND_ERR_SOCKET" }));
        engine.exchanges.clear();
        clock.setTimer(RESTART_MS, () => startEngine(options.keepsIds ? engine.id : undefined));
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
    const answer = (req: EngineRequest, sink: AnswerSink, engine: SimulatedEngine): void => {
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
            status: 200,
            framing,
            headers: [],
            requestId: req.requestId,
            isNotRun: false,
            load: undefined,
            limit: nameLimit(engine.id),
            instance: undefined,
        });
        if (options.plain !== undefined && request !== undefined) {
            if (request.isPoison && isPoisonous) {
                crashAfter(request);
                return;
            }
            clock.setTimer(PLAIN_MS, () => {
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
    const transport: EngineTransport = {
        send(req, sink) {
            const engine = engines.get(req.target.id);
            if (engine?.isUp !== true) {
                clock.setTimer(REFUSED_MS, () => sink.fail({ kind: "unsent", reason: "ECONNREFUSED" }));
                return { cancel: () => undefined, resume: () => undefined };
            }
            requestsById.get(req.requestId)?.reachedMs.push(clock.nowMs());
            arrivals.push({ engine: engine.id, atMs: clock.nowMs() });
            engine.exchanges.add(sink);
            answer(req, sink, engine);
            return { cancel: () => void engine.exchanges.delete(sink), resume: () => undefined };
        },
        forget: () => undefined,
        close: () => undefined,
    };
    const probe = ({ id }: EngineTarget): Promise<EngineProbe> =>
        new Promise(resolve => {
            const isUp = engines.get(id)?.isUp === true;
            clock.setTimer(REFUSED_MS, () => resolve(isUp ? "running" : "gone"));
        });
    const connect = (from: HostId): PeerClient =>
        ({
            request(to: { readonly host: HostId }, name: string, body: unknown) {
                const isLost = random.next() < options.lostShare;
                const delayMs = options.maxDelayMs * random.next();
                return new Promise((resolve, reject) => {
                    clock.setTimer(PEER_TIMEOUT_MS, () => reject(new Error("no reply")));
                    clock.setTimer(isLost ? Infinity : delayMs, () => {
                        const handle = handlersByHost.get(to.host)?.[name];
                        if (handle !== undefined) {
                            resolve(handle(body as never, from));
                        }
                    });
                });
            },
        }) as unknown as PeerClient;
    const startHost = (number: number): void => {
        const host = brandId<HostId>(`host-${number}`);
        const log = { write: () => undefined };
        const context = {
            clock,
            store,
            transport,
            hash,
            log,
            control: { probe },
            random: createRandom(options.seed * 1000 + number),
            metrics: createMetrics(),
            deployment: { host, domain: "a" },
            readBounds: () => ({ contactMs: 3000, retryRatio: 0.2, retryReserve: 56, retryWindowMs: 10_000 }),
        } as unknown as FrontContext;
        const member = { incarnation: brandId<Incarnation>("1"), ip: "127.0.0.1", port: 1, isLeaving: false };
        store.put(formatMemberKey(host), formatMember(member));
        const view = createClusterView(context, createStoreHealth(clock, log));
        const adapters = { startRequest: () => undefined, finishRequest: () => undefined } as unknown as AdapterTracker;
        const streamOrigins = {
            record: () => undefined,
            keep: () => undefined,
            answer: () => ({ kind: "unknown" }) as const,
            find: () => Promise.resolve(undefined),
        };
        const peers = connect(host);
        const quarantine = createQuarantine(context, view, () => peers, NO_LOST_PATHS);
        const limits = createEngineLimits(context, view, () => peers);
        handlersByHost.set(host, {
            engineCrash: (report: CrashReport) => quarantine.handleCrash(report),
            promptAnswered: (question: PromptAnsweredRequest) => quarantine.handleQuestion(question),
            quarantine(notice: QuarantineNotice) {
                quarantine.handleNotice(notice);
                return { done: true };
            },
            engineLimit: (notice: LimitNotice, from: HostId) => limits.handleNotice(notice, from),
            sendGrant: (request: SendGrantRequest, from: HostId) => limits.handleRequest(request, from),
        });
        const loadTracker = createEngineLoadTracker(clock);
        const runner = createRequestRunner(
            context,
            view,
            loadTracker,
            adapters,
            streamOrigins,
            quarantine,
            limits,
            NO_LOST_PATHS,
            NO_FORWARDER,
        );
        runners.set(host, runner);
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
        const runner = [...runners.values()][Math.floor(runners.size * random.next())];
        const requestId = brandId<RequestId>(`r${requests.length}`);
        const request: MutableRequest = {
            name,
            isPoison,
            priority: Math.floor(PRIORITIES * random.next()),
            sentMs: clock.nowMs(),
            reachedMs: [],
            hasBegun: false,
            refusal: undefined,
            readyInMs: undefined,
            heldMs: undefined,
        };
        requests.push(request);
        requestsById.set(requestId, request);
        const content = { method: "GET", hostName: "a.example", path: `/${name}`, body: Buffer.alloc(0) };
        const digest = digestRequest(content);
        const clientRequest = options.plain === undefined
            ? createStreamRequest(request, requestId, digest, drawParts(isPoison))
            : createPlainRequest(request, requestId, digest);
        void runner?.run(clientRequest).then(end => {
            request.heldMs = clock.nowMs() - request.sentMs;
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
    for (let engine = 0; engine < ENGINES; engine += 1) {
        startEngine();
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
        crashAll: () => [...engines.values()].forEach(crash),
        async addHost() {
            startHost(runners.size);
            await advance(MS_PER_S);
        },
    };
}
