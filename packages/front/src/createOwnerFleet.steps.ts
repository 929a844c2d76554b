import { STORE_REPLY_TIMEOUT_MS } from "@fulmarcleat/directory";
import type { ChangeReply, EngineControl, OrderReply, StoreChange } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom, sleep } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";
import { CONFIG_KEY, ENGINE_PREFIX } from "@fulmarcleat/platform";
import { setImmediate } from "node:timers/promises";
import { createClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createHostFaults } from "./createHostFaults.steps.js";
import type { HostFaults } from "./createHostFaults.steps.js";
import { createOwnerFleetPeers } from "./createOwnerFleetPeers.steps.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import { detectPauses } from "./detectPauses.js";
import type { FrontContext } from "./frontContext.js";
import { formatMemberKey, formatOwnerKey, parseOwner } from "./hostKeys.js";
import { startOwnership } from "./startOwnership.js";
import type { Ownership } from "./startOwnership.js";
import { startSession } from "./startSession.js";
import type { Session } from "./startSession.js";
import { createStoreHealth } from "./storeHealth.js";

/** Size and engines of a fleet. */
export interface OwnerFleetOptions {
    readonly hosts: number;
    readonly domains: number;
    readonly engines: number;
    readonly checksFences: boolean;
}

/** An order that a host sent. */
export interface FleetOrder {
    readonly engine: string;
    readonly host: string;
    readonly fence: number;
    /** When it was sent, in milliseconds. */
    readonly atMs: number;
    readonly reply: OrderReply["kind"];
}

/** A handover that a host logged. */
export interface FleetHandover {
    readonly engine: string;
    readonly host: string;
    readonly atMs: number;
}

/** A claim that a host gave up, as the store has it. */
export interface GivenUpClaim {
    readonly engine: string;
    readonly fence: number;
    readonly atMs: number;
}

/** Hosts in memory that share out the ownership of engines; each owner is asked for new adapters all the time. */
export interface OwnerFleet {
    readonly store: StoreFake;
    readonly hosts: readonly string[];
    readonly checksFences: boolean;
    readonly orderLeaseMs: number;
    readonly orders: readonly FleetOrder[];
    readonly handovers: readonly FleetHandover[];
    readonly givenUpClaims: readonly GivenUpClaim[];
    nowMs(): number;
    /** Lets the store fall silent once it has written a handover, so that nobody learns of it until it serves again. */
    silenceAfterHandover(): void;
    readDomain(host: string): string;
    /** The host that owns each engine, as the hosts themselves see it. */
    readOwners(): ReadonlyMap<string, string>;
    /** Cuts exactly these hosts off from all engines; paths count as lost while another host has its own. */
    cut(hosts: readonly string[]): void;
    readonly faults: HostFaults;
    /** Cuts exactly these hosts off from all other hosts. */
    cutFromPeers(hosts: readonly string[]): void;
    /** Delivers every order of these hosts only after this time, longer than hosts wait for a reply. */
    delayOrders(hosts: readonly string[], delayMs: number): void;
    /** Removes a host's keys from the store; its lease goes on. */
    revokeKeys(host: string): void;
    /** Kills a host for good. */
    kill(host: string): void;
    /** Stops a host as the platform does: it leaves and gives its engines up. */
    stopHost(host: string): void;
    /** Kills a host and starts it again under its name. */
    restart(host: string): void;
    advance(ms: number): Promise<void>;
    stop(): void;
}

/** An engine that takes every order that its count and fence allow. */
interface SimulatedEngine {
    seq: number;
    highestFence: number;
}

/** A running process of a host. */
interface RunningHost {
    readonly ownership: Ownership;
    readonly session: Session;
    readonly stop: () => void;
}

/** Step of the clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 10;
/** Time for an engine's reply, in milliseconds. */
const REPLY_MS = 5;
/** Time after which a call to an engine without a reply ends, in milliseconds. */
const CALL_TIMEOUT_MS = 250;
/** Time between two requests for a new adapter on an engine, in milliseconds. */
const REQUEST_INTERVAL_MS = 100;
/** How long a request for an adapter stands, in milliseconds. */
const REQUEST_MS = 400;
/** Time within which all hosts start, so that their watches are out of step, in milliseconds. */
const START_SPREAD_MS = 1500;
const BOUNDS = { contactMs: 3000, orderLeaseMs: 3000, configApplyMs: 3000, engineDrainMs: 3000 } as const;
const MODEL = "base";

/**
 * Starts hosts in memory with the store, sessions, views and ownership as in production.
 *
 * @param options - Numbers of hosts, failure domains and engines, and whether engines check fences
 * @returns the fleet at its first start
 *
 * @example
 * const fleet = await createOwnerFleet({ hosts: 8, domains: 3, engines: 12, checksFences: true });
 */
export async function createOwnerFleet(options: OwnerFleetOptions): Promise<OwnerFleet> {
    const { checksFences } = options;
    const clock = createManualClock(0);
    const store = createStoreFake(clock);
    const hash = await createHasher();
    const faults = createHostFaults(clock);
    const peers = createOwnerFleetPeers(clock, faults);
    const engines = new Map<EngineId, SimulatedEngine>();
    const running = new Map<string, RunningHost>();
    const started = new Set<string>();
    const orders: FleetOrder[] = [];
    const handovers: FleetHandover[] = [];
    const givenUpClaims: GivenUpClaim[] = [];
    let isSilencedAfterHandover = false;
    let cut: ReadonlySet<string> = new Set();
    let delayed: ReadonlyMap<string, number> = new Map();
    let requested = 0;
    let incarnations = 0;
    let isStopped = false;

    const limits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 20_000 };
    const models = [{ name: MODEL, mb: 1000, loadTimeS: 1, adapters: 1000, adapterMb: 1 }];
    const services = [{ name: "models", engine: { slots: 4, mb: 2000, adapterSlots: 10_000, models } }];
    store.put(CONFIG_KEY, Buffer.from(JSON.stringify({ version: 1, routes: [], services, limits })));
    for (let number = 0; number < options.engines; number += 1) {
        const id = brandId<EngineId>(`i-${number}`);
        const entry = { service: "models", address: "127.0.0.1:1", zone: "a", slots: 4, state: "ready", born: 1 };
        store.put(ENGINE_PREFIX + id, Buffer.from(JSON.stringify(entry)));
        engines.set(id, { seq: 0, highestFence: 0 });
    }
    const executeOrder = (engine: SimulatedEngine, fence: number, expectedSeq: number): OrderReply => {
        if (checksFences && fence < engine.highestFence) {
            return { kind: "fenced" };
        }
        engine.highestFence = Math.max(engine.highestFence, fence);
        if (expectedSeq !== engine.seq) {
            return { kind: "conflict" };
        }
        engine.seq += 1;
        return { kind: "accepted" };
    };
    const createControl = (host: string): Pick<EngineControl, "order" | "report"> => ({
        async order({ id }, order, { fence, expectedSeq }) {
            const engine = engines.get(id);
            const isReached = !cut.has(host) && engine !== undefined;
            const arrive = (): OrderReply => {
                const reply: OrderReply = isReached ? executeOrder(engine, fence, expectedSeq) : { kind: "unknown" };
                orders.push({ engine: id, host, fence, atMs: clock.nowMs(), reply: reply.kind });
                return reply;
            };
            if (delayed.has(host)) {
                clock.setTimer(delayed.get(host) ?? 0, arrive);
                await sleep(clock, CALL_TIMEOUT_MS);
                await faults.whenRunning(host);
                return { kind: "unknown" };
            }
            const reply = arrive();
            await sleep(clock, isReached ? REPLY_MS : CALL_TIMEOUT_MS);
            await faults.whenRunning(host);
            return reply;
        },
        async report({ id }) {
            const engine = engines.get(id);
            const isReached = !cut.has(host) && engine !== undefined;
            await sleep(clock, isReached ? REPLY_MS : CALL_TIMEOUT_MS);
            await faults.whenRunning(host);
            if (!isReached) {
                throw new Error("no report");
            }
            const held = { model: brandId<BaseModel>(MODEL), version: 1, adapters: [] };
            return { models: [held], coming: [], isBusy: false, seq: engine.seq, running: 0, waiting: 0 };
        },
    });
    const changeStore = async (change: StoreChange): Promise<ChangeReply> => {
        const [expected] = change.expect;
        const isHandover = parseOwner(change.puts[0]?.value ?? Buffer.alloc(0))?.hasLostPath === true;
        if (!isHandover || expected === undefined) {
            return store.change(change);
        }
        if (isSilencedAfterHandover) {
            store.silenceOpenCalls();
        }
        const reply = await store.change(change);
        if (reply.kind === "written") {
            const engine = expected.key.slice(formatOwnerKey(brandId("")).length);
            givenUpClaims.push({ engine, fence: expected.revision, atMs: clock.nowMs() });
        }
        if (isSilencedAfterHandover) {
            isSilencedAfterHandover = false;
            store.setMode("silent");
            await sleep(clock, STORE_REPLY_TIMEOUT_MS);
            throw new Error("the store did not reply");
        }
        return reply;
    };
    const readDomain = (host: string): string => `d${Number(host.slice("host-".length)) % options.domains}`;
    const startHost = (name: string): void => {
        incarnations += 1;
        const host = brandId<HostId>(name);
        let isRunning = true;
        // A killed process sets no timers and gets no replies any more.
        const hostClock = faults.wrapClock(name);
        const ownClock = {
            ...hostClock,
            setTimer: (delayMs: number, fire: () => void) => hostClock.setTimer(delayMs, () => isRunning && fire()),
        };
        const log = {
            write(level: string, event: number, details: { readonly engine?: string; readonly reason?: string }) {
                if (event === 301 && details.engine !== undefined) {
                    handovers.push({ engine: details.engine, host, atMs: clock.nowMs() });
                }
            },
        };
        const context = {
            clock: ownClock,
            store: faults.wrapStore(name, { ...store, change: changeStore }),
            hash,
            log,
            control: createControl(name),
            random: createRandom(incarnations),
            metrics: createMetrics(),
            incarnation: brandId(String(incarnations)),
            deployment: {
                host,
                domain: readDomain(name),
                ip: "127.0.0.1",
                peerPort: 1,
                isFirstStart: !started.has(name),
                minLeaseMs: 0,
            },
            readBounds: () => ({ ...BOUNDS, checksFences }),
        } as unknown as FrontContext;
        const health = createStoreHealth(ownClock, log);
        const view = createClusterView(context, health, () => peers.connect(name));
        const session = startSession(context, health, view);
        const paths = { isPathLost: () => cut.has(name) && cut.size < running.size };
        const closures = createEngineClosures(context, view);
        const ownership = startOwnership(context, health, view, session, paths, closures, () => peers.connect(name));
        peers.serve(name, {
            orderRight: request => ownership.answerOrderRight(request),
            view: request => view.answer(request),
        });
        detectPauses(ownClock, () => session.markUnverified());
        started.add(name);
        running.set(name, { ownership, session, stop: () => void (isRunning = false) });
    };
    const hosts = Array.from({ length: options.hosts }, (value, number) => `host-${number}`);
    hosts.forEach((host, at) => clock.setTimer(START_SPREAD_MS * at / hosts.length, () => startHost(host)));
    const requestAdapters = (): void => {
        const sinceMs = clock.nowMs();
        const untilMs = sinceMs + REQUEST_MS;
        for (const { ownership } of running.values()) {
            for (const engine of engines.keys()) {
                requested += 1;
                const adapter = brandId<AdapterName>(`a-${requested}`);
                const loadRequest = { version: undefined, dueMs: untilMs, sinceMs, untilMs };
                void ownership.find(engine)?.requestLoad(adapter, loadRequest, false);
            }
        }
        if (!isStopped) {
            clock.setTimer(REQUEST_INTERVAL_MS, requestAdapters);
        }
    };
    requestAdapters();
    return {
        store,
        hosts,
        checksFences,
        orderLeaseMs: BOUNDS.orderLeaseMs,
        orders,
        handovers,
        givenUpClaims,
        silenceAfterHandover: () => void (isSilencedAfterHandover = true),
        nowMs: () => clock.nowMs(),
        readDomain,
        readOwners() {
            const owners = new Map<string, string>();
            for (const [host, { ownership }] of running) {
                [...engines.keys()].filter(id => ownership.find(id) !== undefined).forEach(id => owners.set(id, host));
            }
            return owners;
        },
        faults,
        cutFromPeers: next => peers.cut(next),
        delayOrders: (slow, delayMs) => void (delayed = new Map(slow.map(host => [host, delayMs]))),
        revokeKeys: host => store.revokeLease(formatMemberKey(brandId(host))),
        kill(host) {
            running.get(host)?.stop();
            running.delete(host);
            peers.serve(host, undefined);
        },
        cut: next => void (cut = new Set(next)),
        stopHost(host) {
            const { session, ownership } = running.get(host) ?? {};
            void session?.leave();
            void ownership?.release();
        },
        restart(host) {
            running.get(host)?.stop();
            startHost(host);
        },
        async advance(ms) {
            for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
                clock.advance(STEP_MS);
                await setImmediate();
            }
        },
        stop() {
            isStopped = true;
            running.forEach(host => host.stop());
        },
    };
}
