import { rankByRendezvous } from "@fulmarcleat/hashing";
import { repeat } from "@fulmarcleat/ids";
import type { CancelTimer, HostId, RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import type { PeerClient, StreamOrigin, StreamOriginReply, StreamRecord } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { OriginStore } from "./createOriginStore.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import { createRuleBook } from "./origins/createRuleBook.js";
import type { OriginRoute } from "./origins/createRuleBook.js";
import { RESUMABLE_MS } from "./resumableTime.js";
import { sendToPeer } from "./sendToPeer.js";
import type { StoreHealth } from "./storeHealth.js";

/** Remembers where streams began, for clients that resume them at any host. */
export interface StreamOrigins {
    /**
     * Records where a stream began, at this host and at the peers that other hosts ask first. Its first event is to be
     * held until the returned promise resolves to whether it may be sent; undefined if it can be sent at once.
     */
    record(record: StreamRecord, start: StreamStart): Promise<boolean> | undefined;
    /**
     * Finds where a stream of a service has to begin, so that it can be resumed after a loss of all hosts although the
     * store takes no records; undefined if it may begin anywhere.
     */
    findRequired(requestId: RequestId, route: OriginRoute, service: ServiceName): StreamOrigin | undefined;
    /**
     * Finds where a stream of a route began; undefined if it can't be known.
     * `requestId` is the request that brought its first event; undefined if the client names none.
     */
    find(requestId: RequestId | undefined, route: OriginRoute): Promise<StreamOrigin | undefined>;
    /** Keeps another host's record; resolves to false if the store was to have it and doesn't. */
    keep(record: StreamRecord): Promise<boolean>;
    /** Answers another host's question from the records that this host keeps. */
    answer(requestId: RequestId): StreamOriginReply;
    /** Stops looking for second software versions. */
    readonly stop: CancelTimer;
}

/** How a stream begins. */
export interface StreamStart {
    readonly route: OriginRoute;
    /** Whether it may begin at another engine as long as its client has nothing of it; not if the client resumes it. */
    readonly mayBeginAnew: boolean;
}

/** A kept record. */
interface KeptOrigin {
    readonly origin: StreamOrigin;
    readonly keptUntilMs: number;
    /** Route of a stream that began at this host and that the store has no record of. */
    readonly unstored: OriginRoute | undefined;
}

/** Most records that a host keeps; the oldest is dropped first. */
const MAX_RECORDS = 50_000;
/** Most hosts that copies are spread over, so that no host keeps connections to all others. */
const MAX_KEEPERS = 16;
/** Key by which all hosts rank those that keep copies. */
const KEEPERS_KEY = "stream origins";
/** Number of peers that keep a copy of a record. */
const COPIES = 2;
/** Number of peers that are asked; more than keep copies, since hosts join and leave meanwhile. */
const ASKED_PEERS = 6;
/** Fewest hosts that write to the store; one more takes over its share when one is lost. */
const MIN_WRITERS = 2;
/** Number of hosts for each further one that writes to the store, so that no host gets too many records. */
const HOSTS_PER_WRITER = 100;
/** Shortest time between two writes of one of these hosts, in milliseconds; two write 25 times a second. */
const WRITE_INTERVAL_MS = 80;
/** Shortest time between two writes of a host that reaches no writer, in milliseconds. */
const MIN_UNREACHED_INTERVAL_MS = 200;
/** The same time for each host that may be in its place, in milliseconds. */
const UNREACHED_INTERVAL_PER_KEEPER_MS = 40;
/** Longest wait until a peer has stored a record, in milliseconds: two writes, and a peer that is behind. */
const STORE_TIMEOUT_MS = 400;
/**
 * Longest time for which a first event is held until its record is stored, in milliseconds. It is held that long only
 * once: the shortest goal of a stream is 600 ms, and a later record ends the holding.
 */
const MAX_HOLD_MS = 500;
/** Interval between two looks whether a service has got a second software version, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Creates the records of where streams began. They are kept in memory, at the host that served the first event and at
 * two peers that rendezvous hashing of the request's id picks from a bounded set. After a loss of all hosts only the store
 * tells where a stream can have begun: by the software versions on record if there is one, and the route's weights give
 * one service, else by the stream's own record, which one of few writers stores while that is not so. A stream's first
 * event is held until then, so that whoever has received it can resume the stream. While the store is away or slow,
 * streams begin where the origin rules say, which needs no record.
 *
 * @param context - Clock, hash, metrics and this host's name
 * @param health - Whether the store answers this host
 * @param clusterView - Live hosts, engines and origin rules
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param createStore - Creates the store's record of streams, for an interval between two writes
 * @returns the records, empty
 *
 * @example
 * const streamOrigins = createStreamOrigins(context, health, clusterView, () => peers, interval => createOriginStore(context, interval));
 */
export function createStreamOrigins(
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "metrics" | "readBounds">,
    health: Pick<StoreHealth, "isAvailable">,
    clusterView: Pick<
        ClusterView,
        "confirmEngines" | "engines" | "members" | "onEngineRemoved" | "originRules" | "recordedVersions"
    >,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    createStore: (readIntervalMs: () => number) => OriginStore,
): StreamOrigins {
    const { clock, deployment, hash, metrics, readBounds } = context;
    const kept = new Map<RequestId, KeptOrigin>();
    const peerContext = { metrics, readPeers };
    const ruleBook = createRuleBook(context, clusterView);
    const startedMs = clock.nowMs();
    let formerVersions: readonly { readonly origin: StreamOrigin; readonly removedAtMs: number }[] = [];
    /** Whether first events are held: the last record that was to be stored was stored in time. */
    let isHolding = true;

    const originStore = createStore(() =>
        listWriters().includes(deployment.host)
            ? WRITE_INTERVAL_MS
            : Math.max(
                MIN_UNREACHED_INTERVAL_MS,
                Math.min(MAX_KEEPERS, clusterView.members.size) * UNREACHED_INTERVAL_PER_KEEPER_MS,
            )
    );
    const keep = (
        { requestId, service, softwareVersion }: StreamRecord,
        unstored: OriginRoute | undefined,
    ): void => {
        const atMs = clock.nowMs();
        kept.delete(requestId);
        kept.set(requestId, { origin: { service, softwareVersion }, keptUntilMs: atMs + RESUMABLE_MS, unstored });
        for (const [id, { keptUntilMs }] of kept) {
            if (keptUntilMs > atMs && kept.size <= MAX_RECORDS) {
                break;
            }
            kept.delete(id);
        }
    };
    const answer = (requestId: RequestId): StreamOriginReply => {
        const found = kept.get(requestId);
        return found === undefined || found.keptUntilMs <= clock.nowMs()
            ? { kind: "unknown" }
            : { kind: "known", ...found.origin };
    };
    const rankPeers = (requestId: RequestId, isCandidate: (member: Member) => boolean): readonly Member[] => {
        const others = [...clusterView.members.values()].filter(member =>
            member.host !== deployment.host && isCandidate(member)
        );
        const keepers = rankByRendezvous(hash, KEEPERS_KEY, others.map(member => member.host)).slice(0, MAX_KEEPERS);
        return rankByRendezvous(hash, requestId, keepers)
            .map(host => clusterView.members.get(host))
            .filter(member => member !== undefined);
    };
    /** Lists the hosts that write to the store, in the order that all hosts share. */
    const listWriters = (): readonly HostId[] => {
        const hosts = [...clusterView.members.values()].filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
        const count = Math.min(MAX_KEEPERS, Math.max(MIN_WRITERS, Math.ceil(hosts.length / HOSTS_PER_WRITER)));
        return rankByRendezvous(hash, KEEPERS_KEY, hosts).slice(0, count);
    };
    /** Finds the peer that writes a stream's record to the store; undefined if that is this host. */
    const findWriter = (requestId: RequestId): Member | undefined => {
        const [writer] = rankByRendezvous(hash, requestId, listWriters());
        return writer === undefined || writer === deployment.host ? undefined : clusterView.members.get(writer);
    };
    /** Has a stream's record stored by its writer, or by this host in its place; resolves when the store has it. */
    const store = async (record: StreamRecord, writer: Member | undefined): Promise<boolean> => {
        if (writer === undefined) {
            return originStore.add(record);
        }
        const request = { ...record, isToStore: true };
        const reply = await sendToPeer(peerContext, writer, "streamStart", request, STORE_TIMEOUT_MS);
        return reply?.done ?? originStore.add(record);
    };
    /** Waits until a record is stored, or for as long as an event is held at most; resolves to whether it is stored. */
    const holdUntilStored = async (isStored: Promise<boolean>): Promise<boolean> => {
        const sinceMs = clock.nowMs();
        let cancelLimit: CancelTimer = () => undefined;
        const limit = new Promise<boolean>(resolve => {
            cancelLimit = clock.setTimer(MAX_HOLD_MS, () => resolve(false));
        });
        const settled = isStored.then(isDone => {
            isHolding = isDone && clock.nowMs() - sinceMs <= readBounds().eventPassMs;
            return isDone;
        });
        const isDone = await Promise.race([settled, limit]);
        if (!isDone) {
            isHolding = false;
            metrics.count("stream_events_unstored_total");
        }
        cancelLimit();
        metrics.record("stream_event_hold", Math.round(clock.nowMs() - sinceMs));
        return isDone;
    };
    /** Asks peers for a stream's origin; the first one that knows it wins. */
    const askPeers = async (requestId: RequestId): Promise<StreamOrigin | undefined> => {
        const writer = findWriter(requestId);
        const ranked = rankPeers(requestId, () => true).slice(0, ASKED_PEERS);
        const asked = new Set(writer === undefined ? ranked : [...ranked, writer]);
        const replies = [...asked].map(async member => {
            const reply = await sendToPeer(peerContext, member, "streamOrigin", { requestId });
            return reply?.kind === "known" ? reply : Promise.reject(new Error(`${member.host} keeps no record`));
        });
        // It rejects only if no peer keeps a record.
        const known = await Promise.any(replies).catch(() => undefined);
        return known === undefined ? undefined : { service: known.service, softwareVersion: known.softwareVersion };
    };
    /** Lists the engines that were removed within the time for which a stream may be resumed. */
    const listFormerVersions = (): typeof formerVersions => {
        const sinceMs = clock.nowMs() - RESUMABLE_MS;
        return formerVersions.filter(former => former.removedAtMs >= sinceMs);
    };
    /** Whether this host knows all software versions that a service has had for as long as a stream may be resumed. */
    const knowsHistory = (recorded: readonly StreamOrigin[]): boolean =>
        deployment.isFirstStart || recorded.length > 0 || clock.nowMs() - startedMs >= RESUMABLE_MS;
    /**
     * Finds the only software version that a stream can have begun at: that of a service which has had no other for as
     * long as a stream may be resumed, if no other service of the route can have begun it. A host that was out of step
     * may not know the newest version, so the store is asked; it lists an engine before streams begin there.
     */
    const findOnlyVersion = async (
        requestId: RequestId | undefined,
        route: OriginRoute,
    ): Promise<StreamOrigin | undefined> => {
        const [service, ...others] = ruleBook.listServices(route, requestId);
        return service !== undefined && others.length === 0 && readOnlyVersion(service) !== undefined
                && await clusterView.confirmEngines()
            ? readOnlyVersion(service)
            : undefined;
    };
    const listRecorded = (service: ServiceName): readonly StreamOrigin[] =>
        [...clusterView.recordedVersions.values()].filter(version => version.service === service);
    /** Lists the software versions at which streams of a service can have begun that may still be resumed. */
    const listVersions = (service: ServiceName): ReadonlySet<SoftwareVersion | undefined> => {
        const origins = [
            ...listRecorded(service),
            ...[...clusterView.engines.values()].map(({ entry }) => entry),
            ...listFormerVersions().map(former => former.origin),
        ].filter(origin => origin.service === service);
        return new Set(origins.map(origin => origin.softwareVersion));
    };
    const readOnlyVersion = (service: ServiceName): StreamOrigin | undefined => {
        const versions = listVersions(service);
        const [softwareVersion] = versions;
        return knowsHistory(listRecorded(service)) && versions.size === 1 ? { service, softwareVersion } : undefined;
    };
    /** Finds where a stream of which nobody has a record must have begun: only where the rules say may one begin so. */
    const findByRule = async (requestId: RequestId, route: OriginRoute): Promise<StreamOrigin | undefined> => {
        const predict = (): StreamOrigin | undefined =>
            ruleBook.listServices(route, requestId).size === 1 ? ruleBook.predict(route, requestId) : undefined;
        return predict() !== undefined && await originStore.isUnrecorded(requestId) ? predict() : undefined;
    };
    /** Whether a service has engines at which the rules let streams begin; without one, all its streams would be refused. */
    const hasRuledEngine = (route: OriginRoute, service: ServiceName): boolean =>
        [...clusterView.engines.values()].some(({ entry, isUsable }) =>
            isUsable && entry.service === service && ruleBook.mayGive(route, entry)
        );
    /** Whether it follows neither from the route's weights nor from the versions of its services where a stream began. */
    const isAmbiguous = ({ requestId, service }: StreamRecord, route: OriginRoute): boolean =>
        listVersions(service).size > 1 || ruleBook.listServices(route, requestId).size > 1;
    /** Writes the streams of before to the store once it is ambiguous where they began. */
    const storeEarlier = (): void => {
        const earlier = [...kept].flatMap(([requestId, { origin, keptUntilMs, unstored }]) =>
            unstored !== undefined && keptUntilMs > clock.nowMs()
                ? [{ record: { requestId, ...origin }, route: unstored, keptUntilMs }]
                : []
        );
        const services = new Set(earlier.map(({ record }) => record.service));
        const mixed = new Set([...services].filter(service => listVersions(service).size > 1));
        const changed = ruleBook.takeChanges();
        for (const { record, route, keptUntilMs } of earlier) {
            if (mixed.has(record.service) || changed.has(route.name) && isAmbiguous(record, route)) {
                const { requestId, service, softwareVersion } = record;
                kept.set(requestId, { origin: { service, softwareVersion }, keptUntilMs, unstored: undefined });
                void originStore.add(record);
            }
        }
    };
    clusterView.onEngineRemoved(({ service, softwareVersion }) => {
        formerVersions = [...listFormerVersions(), {
            origin: { service, softwareVersion },
            removedAtMs: clock.nowMs(),
        }];
    });
    return {
        async keep(record) {
            keep(record, undefined);
            return record.isToStore === true ? originStore.add(record) : true;
        },
        answer,
        stop: repeat(clock, CHECK_INTERVAL_MS, storeEarlier),
        findRequired(requestId, route, service) {
            if (isHolding && health.isAvailable) {
                return undefined;
            }
            const predicted = ruleBook.predict(route, requestId);
            return predicted?.service === service && hasRuledEngine(route, service) ? predicted : undefined;
        },
        record(record, { route, mayBeginAnew }) {
            const predicted = ruleBook.predict(route, record.requestId);
            const isPredicted = predicted !== undefined && isSameOrigin(predicted, record);
            const isToStore = isAmbiguous(record, route) || predicted !== undefined && !isPredicted;
            keep(record, isToStore ? undefined : route);
            const writer = isToStore ? findWriter(record.requestId) : undefined;
            rankPeers(record.requestId, member => !member.isLeaving)
                .filter(member => member !== writer)
                .slice(0, writer === undefined ? COPIES : COPIES - 1)
                .forEach(member => void sendToPeer(peerContext, member, "streamStart", record));
            if (!isToStore) {
                return undefined;
            }
            const held = holdUntilStored(store(record, writer));
            if (isPredicted) {
                return undefined;
            }
            if (predicted !== undefined && mayBeginAnew && hasRuledEngine(route, record.service)) {
                return held;
            }
            return isHolding ? held.then(() => true) : undefined;
        },
        async find(requestId, route) {
            const own = requestId === undefined ? undefined : answer(requestId);
            if (own?.kind === "known") {
                metrics.count("stream_origins_total", { found: "own" });
                return { service: own.service, softwareVersion: own.softwareVersion };
            }
            const told = requestId === undefined ? undefined : await askPeers(requestId);
            const only = told ?? await findOnlyVersion(requestId, route);
            const stored = only ?? (requestId === undefined ? undefined : await originStore.find(requestId));
            const found = stored ?? (requestId === undefined ? undefined : await findByRule(requestId, route));
            const source = told !== undefined
                ? "peer"
                : only !== undefined
                ? "only_version"
                : stored !== undefined
                ? "store"
                : found !== undefined
                ? "rule"
                : "none";
            metrics.count("stream_origins_total", { found: source });
            return found;
        },
    };
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
    return a.service === b.service && a.softwareVersion === b.softwareVersion;
}
