import type { Service } from "@fulmarcleat/directory";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { repeat } from "@fulmarcleat/ids";
import type { CancelTimer, RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import type { PeerClient, StreamOrigin, StreamOriginReply, StreamRecord } from "@fulmarcleat/wire";
import type { ClusterView } from "./createClusterView.js";
import type { OriginStore } from "./createOriginStore.js";
import type { FrontContext } from "./frontContext.js";
import type { Member } from "./hostKeys.js";
import { RESUMABLE_MS } from "./resumableTime.js";
import { sendToPeer } from "./sendToPeer.js";

/** Remembers where streams began, for clients that resume them at any host. */
export interface StreamOrigins {
    /** Records where a stream began, at this host and at the peers that other hosts ask first. */
    record(record: StreamRecord): void;
    /**
     * Finds where a stream began; undefined if it can't be known.
     * `requestId` is the request that brought its first event; undefined if the client names none.
     */
    find(requestId: RequestId | undefined, service: Service): Promise<StreamOrigin | undefined>;
    /** Keeps another host's record. */
    keep(record: StreamRecord): void;
    /** Answers another host's question from the records that this host keeps. */
    answer(requestId: RequestId): StreamOriginReply;
    /** Stops looking for second software versions. */
    readonly stop: CancelTimer;
}

/** A kept record. */
interface KeptOrigin {
    readonly origin: StreamOrigin;
    readonly keptUntilMs: number;
    /** whether the stream began at this host, and the store has no record of it. */
    readonly isUnstored: boolean;
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
/** Interval between two looks whether a service has got a second software version, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Creates the records of where streams began. They are kept in memory, at the host that served the first event and at
 * two peers that rendezvous hashing of the request's id picks from a bounded set. After a loss of all hosts only the store
 * tells where a stream can have begun: by the software versions on record if there is one, else by the stream's own
 * record, which the first of the two peers writes while a service has more than one.
 *
 * @param context - Clock, hash, metrics and this host's name
 * @param clusterView - Live hosts and engines
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @param createStore - Creates the store's record of streams, for a number of hosts that write it
 * @returns the records, empty
 *
 * @example
 * const streamOrigins = createStreamOrigins(context, clusterView, () => peers, count => createOriginStore(context, count));
 */
export function createStreamOrigins(
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "metrics">,
    clusterView: Pick<ClusterView, "confirmEngines" | "engines" | "members" | "onEngineRemoved" | "recordedVersions">,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
    createStore: (countWriters: () => number) => OriginStore,
): StreamOrigins {
    const { clock, deployment, hash, metrics } = context;
    const kept = new Map<RequestId, KeptOrigin>();
    const peerContext = { metrics, readPeers };
    const startedMs = clock.nowMs();
    let formerVersions: readonly { readonly origin: StreamOrigin; readonly removedAtMs: number }[] = [];

    const originStore = createStore(() => Math.min(MAX_KEEPERS, clusterView.members.size));
    const keep = ({ requestId, service, softwareVersion }: StreamRecord, isUnstored: boolean): void => {
        const atMs = clock.nowMs();
        kept.delete(requestId);
        kept.set(requestId, { origin: { service, softwareVersion }, keptUntilMs: atMs + RESUMABLE_MS, isUnstored });
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
    /** Asks peers for a stream's origin; the first one that knows it wins. */
    const askPeers = async (requestId: RequestId): Promise<StreamOrigin | undefined> => {
        const asked = rankPeers(requestId, () => true).slice(0, ASKED_PEERS);
        const replies = asked.map(async member => {
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
     * Finds the only software version that a service has had for as long as a stream may be resumed. A host that was
     * out of step may not know the newest one, so the store is asked; it lists an engine before streams begin there.
     */
    const findOnlyVersion = async (service: ServiceName): Promise<StreamOrigin | undefined> =>
        readOnlyVersion(service) !== undefined && await clusterView.confirmEngines()
            ? readOnlyVersion(service)
            : undefined;
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
    /** Writes the streams of before to the store once their service has a second software version. */
    const storeEarlier = (): void => {
        const unstored = [...kept].filter(([, { isUnstored }]) => isUnstored);
        const services = new Set(unstored.map(([, { origin }]) => origin.service));
        const mixed = new Set([...services].filter(service => listVersions(service).size > 1));
        for (const [requestId, { origin, keptUntilMs }] of unstored) {
            if (mixed.has(origin.service) && keptUntilMs > clock.nowMs()) {
                kept.set(requestId, { origin, keptUntilMs, isUnstored: false });
                originStore.add({ requestId, ...origin });
            }
        }
    };
    /** Tells the peers that keep copies; the first one, or this host in its place, writes the record to the store. */
    const tellPeers = async (record: StreamRecord, isToStore: boolean): Promise<void> => {
        const [first, ...others] = rankPeers(record.requestId, member => !member.isLeaving).slice(0, COPIES);
        others.forEach(member => void sendToPeer(peerContext, member, "streamStart", record));
        const reply = first && await sendToPeer(peerContext, first, "streamStart", { ...record, isToStore });
        if (isToStore && reply === undefined) {
            originStore.add(record);
        }
    };
    clusterView.onEngineRemoved(({ service, softwareVersion }) => {
        formerVersions = [...listFormerVersions(), {
            origin: { service, softwareVersion },
            removedAtMs: clock.nowMs(),
        }];
    });
    return {
        keep(record) {
            keep(record, false);
            if (record.isToStore === true) {
                originStore.add(record);
            }
        },
        answer,
        stop: repeat(clock, CHECK_INTERVAL_MS, storeEarlier),
        record(record) {
            const isMixed = listVersions(record.service).size > 1;
            keep(record, !isMixed);
            void tellPeers(record, isMixed);
        },
        async find(requestId, service) {
            const own = requestId === undefined ? undefined : answer(requestId);
            if (own?.kind === "known") {
                metrics.count("stream_origins_total", { found: "own" });
                return { service: own.service, softwareVersion: own.softwareVersion };
            }
            const told = requestId === undefined ? undefined : await askPeers(requestId);
            const only = told ?? await findOnlyVersion(service.name);
            const found = only ?? (requestId === undefined ? undefined : await originStore.find(requestId));
            const source = told !== undefined
                ? "peer"
                : only !== undefined
                ? "only_version"
                : found !== undefined
                ? "store"
                : "none";
            metrics.count("stream_origins_total", { found: source });
            return found;
        },
    };
}
