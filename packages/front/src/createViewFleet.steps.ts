import type { MetadataStore } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { FailureDomain, HostId, Incarnation } from "@fulmarcleat/ids";
import type { PeerClient } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import { createClusterView } from "./createClusterView.js";
import type { ClusterView } from "./createClusterView.js";
import { createHostFaults } from "./createHostFaults.steps.js";
import type { HostFaults } from "./createHostFaults.steps.js";
import { createHostLinks } from "./createHostLinks.steps.js";
import { createOwnerFleetPeers } from "./createOwnerFleetPeers.steps.js";
import type { OwnerFleetPeers } from "./createOwnerFleetPeers.steps.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey } from "./hostKeys.js";
import { createStoreHealth } from "./storeHealth.js";

/** Hosts in memory whose views follow one store. */
export interface ViewFleet {
    readonly store: StoreFake;
    readonly faults: HostFaults;
    readonly peers: OwnerFleetPeers;
    readonly hosts: readonly string[];
    /** Calls of all hosts to the store so far. */
    readonly storeCalls: number;
    /** Lists among them. */
    readonly storeLists: number;
    /** Requests of all hosts to other hosts so far. */
    readonly peerAsks: number;
    nowMs(): number;
    readDomain(host: string): string;
    /** Returns a running host's view; undefined after its end. */
    findView(host: string): ClusterView | undefined;
    /** Lists the hosts that have called the store since the last call of this function. */
    takeStoreReaders(): readonly string[];
    /** Ends a host's process and removes its key. */
    kill(host: string): void;
    advance(ms: number): Promise<void>;
}

/** Size of a fleet of views. */
export interface ViewFleetOptions {
    readonly hosts: number;
    readonly domains: number;
    /** Time within which an accepted configuration must be in force, in milliseconds. */
    readonly applyMs: number;
    /** Time within which an engine that leaves must be known, in milliseconds; `applyMs` if it is left out. */
    readonly drainMs?: number;
    /** Returns the rate of a host's link, in Mbit/s; links carry any number of bytes at once by default. */
    readonly readLinkMbps?: (host: string) => number;
}

const STEP_MS = 10;
/** Time within which all hosts start, so that their calls are out of step, in milliseconds. */
const START_SPREAD_MS = 1500;
/** Time after the last start until all hosts have found whom they follow, in milliseconds. */
const SETTLE_MS = 5000;
const CONTACT_MS = 4000;
/** Bytes of an item or a change beside its key and value. */
const ITEM_BYTES = 100;
/** Bytes of base64 text for each byte of a value. */
const STORE_BYTES_PER_BYTE = 4 / 3;

/**
 * Starts hosts in memory with the store, their views and the paths between them as in production.
 *
 * @param options - Numbers of hosts and failure domains
 * @returns the fleet, settled
 *
 * @example
 * const fleet = await createViewFleet({ hosts: 195, domains: 5, applyMs: 4000 });
 */
export async function createViewFleet(
    { hosts, domains, applyMs, drainMs = applyMs, readLinkMbps }: ViewFleetOptions,
): Promise<ViewFleet> {
    const clock = createManualClock(0);
    const store = createStoreFake(clock);
    const hash = await createHasher();
    const faults = createHostFaults(clock);
    const links = readLinkMbps === undefined ? undefined : createHostLinks(clock, readLinkMbps);
    const sendReply = links === undefined
        ? undefined
        : (from: string, to: string, reply: unknown, isAwaited: () => boolean): Promise<void> =>
            links.send(from, to, measureBytes(reply), isAwaited);
    const peers = createOwnerFleetPeers(clock, faults, sendReply);
    const views = new Map<string, ClusterView>();
    const stops = new Map<string, () => void>();
    const names = Array.from({ length: hosts }, (value, number) => `host-${number}`);
    const log = { write: () => undefined };
    let storeCalls = 0;
    let storeLists = 0;
    let peerAsks = 0;
    let readers = new Set<string>();
    const readDomain = (host: string): string => `d${Number(host.slice("host-".length)) % domains}`;
    const count = <T>(host: string, call: () => Promise<T>): Promise<T> => {
        storeCalls += 1;
        readers.add(host);
        return call();
    };
    /** Receives a reply of the store over the host's link; the client waits as long as bytes arrive. */
    const receive = async <T>(host: string, call: Promise<T>): Promise<T> => {
        const reply = await call;
        await links?.send(undefined, host, measureBytes(reply) * STORE_BYTES_PER_BYTE, () => true);
        return reply;
    };
    const countCalls = (host: string, inner: MetadataStore): MetadataStore => ({
        ...inner,
        list(prefix) {
            storeLists += 1;
            return count(host, () => receive(host, inner.list(prefix)));
        },
        watch: (prefix, after, waitMs) => count(host, () => receive(host, inner.watch(prefix, after, waitMs))),
    });
    const connectPeers = (host: string): Pick<PeerClient, "request"> => {
        const inner = peers.connect(host);
        return {
            request(...ask) {
                peerAsks += 1;
                return inner.request(...ask);
            },
        };
    };
    const startHost = (host: string): void => {
        let isRunning = true;
        const ownClock = faults.wrapClock(host);
        const runningClock = {
            ...ownClock,
            setTimer: (delayMs: number, fire: () => void) => ownClock.setTimer(delayMs, () => isRunning && fire()),
        };
        const context = {
            clock: runningClock,
            store: countCalls(host, faults.wrapStore(host, store)),
            log,
            hash,
            random: createRandom(Number(host.slice("host-".length)) + 1),
            metrics: createMetrics(),
            deployment: { host: brandId<HostId>(host), linkMbps: readLinkMbps?.(host) },
            readBounds: () => ({ contactMs: CONTACT_MS, configApplyMs: applyMs, engineDrainMs: drainMs }),
        } as unknown as FrontContext;
        store.put(
            formatMemberKey(brandId(host)),
            formatMember({
                incarnation: brandId<Incarnation>("1"),
                ip: "127.0.0.1",
                port: 1,
                domain: brandId<FailureDomain>(readDomain(host)),
                canBeFollowed: true,
                linkMbps: readLinkMbps?.(host),
                isLeaving: false,
            }),
        );
        const client = connectPeers(host);
        const view = createClusterView(context, createStoreHealth(runningClock, log), () => client);
        peers.serve(host, { view: request => view.answer(request) });
        views.set(host, view);
        stops.set(host, () => {
            isRunning = false;
            view.stop();
        });
    };
    names.forEach((host, at) => clock.setTimer(START_SPREAD_MS * at / hosts, () => startHost(host)));
    const fleet: ViewFleet = {
        store,
        faults,
        peers,
        hosts: names,
        get storeCalls() {
            return storeCalls;
        },
        get storeLists() {
            return storeLists;
        },
        get peerAsks() {
            return peerAsks;
        },
        nowMs: () => clock.nowMs(),
        readDomain,
        findView: host => views.get(host),
        takeStoreReaders() {
            const taken = [...readers];
            readers = new Set();
            return taken;
        },
        kill(host) {
            stops.get(host)?.();
            views.delete(host);
            peers.serve(host, undefined);
        },
        async advance(ms) {
            for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
                clock.advance(STEP_MS);
                await setImmediate();
            }
        },
    };
    await fleet.advance(START_SPREAD_MS + SETTLE_MS);
    return fleet;
}

/** Measures a reply of the store, or of another host, by the keys and values in it. */
function measureBytes(reply: unknown): number {
    if (typeof reply !== "object" || reply === null) {
        return 0;
    }
    if (Buffer.isBuffer(reply)) {
        return reply.length;
    }
    const own = "key" in reply ? ITEM_BYTES : 0;
    return Object.values(reply).reduce((sum: number, value) => sum + measureBytes(value), own);
}
