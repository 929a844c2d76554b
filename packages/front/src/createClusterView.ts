import {
    chooseViewAges,
    chooseViewRole,
    chooseWatchInterval,
    computeLinkBytes,
    createKeyFeed,
    rankViewHelpers,
    reduceDirectory,
} from "@fulmarcleat/directory";
import type {
    AdapterRelease,
    DirectoryMessage,
    DirectoryState,
    EngineEntry,
    FeedListener,
    KeyFeed,
    KnownEngine,
    ServingConfig,
    StoreItem,
    ViewAges,
    ViewRole,
} from "@fulmarcleat/directory";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, repeat } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, ClockReading, EngineId, HostId } from "@fulmarcleat/ids";
import {
    CONFIG_KEY,
    ENGINE_PREFIX,
    OPERATOR_PREFIX,
    parseAdapterRelease,
    parseEngineEntry,
    parseServingConfig,
    RELEASE_PREFIX,
} from "@fulmarcleat/platform";
import type { PeerClient, ViewPart, ViewReply, ViewRequest } from "@fulmarcleat/wire";
import { answerView } from "./answerView.js";
import { createHostRecords } from "./createHostRecords.js";
import type { HostRecords } from "./createHostRecords.js";
import { createViewConfirmation } from "./createViewConfirmation.js";
import { formatReleaseKey } from "./formatReleaseKey.js";
import type { FrontContext } from "./frontContext.js";
import { SYSTEM_PREFIX } from "./hostKeys.js";
import type { Member } from "./hostKeys.js";
import { logEngineChanges } from "./logEngineChanges.js";
import { runEach } from "./runEach.js";
import { startStoreWatch } from "./startStoreWatch.js";
import type { StoreWatch } from "./startStoreWatch.js";
import { startViewFollower, VIEW_REPLY_MS } from "./startViewFollower.js";
import type { StoreHealth } from "./storeHealth.js";

/** This host's copy of the configuration, the engines and the other hosts, as read from the store. */
export interface ClusterView extends HostRecords {
    readonly config: ServingConfig | undefined;
    readonly engines: ReadonlyMap<EngineId, KnownEngine>;
    /** Time since the store last confirmed a part of this view, in milliseconds; undefined before it first did. */
    readAgeMs(part: ViewPart): number | undefined;
    /** Brings the engines up to date with a call to the store; resolves to whether it has answered. */
    confirmEngines(): Promise<boolean>;
    /** Returns when the call was sent whose reply last confirmed a part of this view; undefined before the first. */
    readConfirmedFrom(part: ViewPart): ClockReading | undefined;
    /** Whether the system's keys have been listed at least once since the start. */
    readonly hasReadHostKeys: boolean;
    /** Returns the newest declared version of an adapter; undefined if none was declared. */
    findRelease(model: BaseModel, adapter: AdapterName): number | undefined;
    /** Records that another engine answers at an engine's address; the entry is unused until the engine restarts. */
    markReplaced(entry: EngineEntry): void;
    /** Calls a listener with each newly declared adapter version. */
    onRelease(listener: (release: AdapterRelease) => void): void;
    /** Calls a listener with each engine that is removed from the directory. */
    onEngineRemoved(listener: (entry: EngineEntry) => void): void;
    /** Whether other hosts follow this host's view. */
    readonly isFollowed: boolean;
    /** Answers another host that follows this host's view. */
    answer(request: ViewRequest): Promise<ViewReply>;
    /** Stops watching the store. */
    stop(): void;
}

/** Shortest time between two watch calls for the configuration, in milliseconds. */
const CONFIG_WATCH_INTERVAL_MS = 60;
/** Base interval between two watch calls for engines' entries, which change often, in milliseconds. */
const ENGINE_WATCH_INTERVAL_MS = 350;
/** Added per host to the watch interval of engine entries, in milliseconds; all hosts stay below 60 calls a second. */
const ENGINE_WATCH_INTERVAL_PER_HOST_MS = 18;
/** Base interval between two watch calls for the system's own keys, in milliseconds. */
const HOST_WATCH_INTERVAL_MS = 120;
/** Added per host to the watch interval of the system's own keys, in milliseconds; owners and hosts rarely change. */
const HOST_WATCH_INTERVAL_PER_HOST_MS = 6;
/** Interval between two removals of expired engines, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
/** Time per host over which lists are spread after changes were missed, in milliseconds. */
const LIST_SPREAD_PER_HOST_MS = 5;
/** Longest time over which lists are spread, in milliseconds. */
const MAX_LIST_SPREAD_MS = 500;

/**
 * Keeps the current values of the store's keys in memory: it watches them, or follows another host that does.
 *
 * @param context - Store, clock, hash and log
 * @param health - Records whether the store answers
 * @param readPeers - Returns the client for requests to other hosts; undefined until it is connected
 * @returns the view, empty until the store has answered
 *
 * @example
 * const clusterView = createClusterView(context, health, () => peers);
 */
export function createClusterView(
    context: FrontContext,
    health: StoreHealth,
    readPeers: () => Pick<PeerClient, "request"> | undefined,
): ClusterView {
    const { clock, deployment, hash, log, metrics } = context;
    let config: ServingConfig | undefined;
    let directory: DirectoryState = { engines: new Map(), graceUntilMs: 0, gone: new Map() };
    const releases = new Map<string, number>();
    /** This host's role among its members; undefined once they have changed. */
    let role: ViewRole | undefined;
    const records = createHostRecords(context, () => void (role = undefined));
    const { members } = records;
    const releaseListeners: ((release: AdapterRelease) => void)[] = [];
    const removalListeners: ((entry: EngineEntry) => void)[] = [];
    const loggedUnreadableKeys = new Set<string>();

    const logUnreadable = (key: string): void => {
        if (!loggedUnreadableKeys.has(key)) {
            loggedUnreadableKeys.add(key);
            log.write("warn", 213, { key });
        }
    };
    const applyRelease = (item: StoreItem): void => {
        const release = parseAdapterRelease(item.value);
        if (release === undefined) {
            logUnreadable(item.key);
            return;
        }
        const key = formatReleaseKey(release.model, release.adapter);
        if ((releases.get(key) ?? -1) < release.version) {
            releases.set(key, release.version);
            log.write("info", 503, { adapter: release.adapter, version: release.version });
            releaseListeners.forEach(listener => listener(release));
        }
    };
    const applyConfig = (item: StoreItem): void => {
        const parsed = parseServingConfig(item.value);
        if (parsed === undefined) {
            logUnreadable(item.key);
            return;
        }
        if (config === undefined || parsed.version > config.version) {
            log.write("info", 500, { version: parsed.version, former: config?.version, revision: item.revision });
            config = parsed;
        }
    };
    const applyOperatorItem = (item: StoreItem): void => {
        if (item.key === CONFIG_KEY) {
            applyConfig(item);
        }
        else if (item.key.startsWith(RELEASE_PREFIX)) {
            applyRelease(item);
        }
    };
    const applyDirectory = (message: DirectoryMessage): void => {
        const before = directory.engines;
        directory = reduceDirectory(directory, message);
        if (directory.engines !== before) {
            logEngineChanges(before, directory.engines, context);
            for (const [id, known] of before) {
                if (!directory.engines.has(id)) {
                    runEach(log, "forget engine", removalListeners, () => id, listener => listener(known.entry));
                }
            }
        }
    };
    const parseEntry = (item: StoreItem): EngineEntry | undefined => {
        const entry = parseEngineEntry(item.key, item.value);
        if (entry === undefined) {
            logUnreadable(item.key);
        }
        return entry;
    };
    const applyEngineItem = (item: StoreItem): void => {
        const entry = parseEntry(item);
        if (entry !== undefined) {
            applyDirectory({ kind: "entry", entry, atMs: clock.nowMs() });
        }
    };
    const removeEngine = (key: string): void => {
        const engine = brandId<EngineId>(key.slice(ENGINE_PREFIX.length));
        applyDirectory({ kind: "removed", engine, atMs: clock.nowMs() });
    };
    /** Applies one entry; whatever is wrong with it keeps no other one from being applied. */
    const applyAlone = (key: string, apply: () => void): void => {
        try {
            apply();
        }
        catch (err) {
            log.write("warn", 213, { key, reason: String(err) });
        }
    };
    const operatorKeys: FeedListener = {
        listed: items => items.forEach(item => applyAlone(item.key, () => applyOperatorItem(item))),
        changed: events =>
            events.forEach(event =>
                event.kind === "put" && applyAlone(event.item.key, () => applyOperatorItem(event.item))
            ),
    };
    const engineKeys: FeedListener = {
        listed(items, isRestored) {
            if (isRestored) {
                log.write("warn", 605, { prefix: ENGINE_PREFIX });
                metrics.count("store_restores_total");
                recordReturn(clock.nowMs());
            }
            const entries = items.map(parseEntry).filter(entry => entry !== undefined);
            applyDirectory({ kind: "listed", entries, isRestored, atMs: clock.nowMs() });
        },
        changed(events) {
            events.forEach(event =>
                event.kind === "put"
                    ? applyAlone(event.item.key, () => applyEngineItem(event.item))
                    : applyAlone(event.key, () => removeEngine(event.key))
            );
        },
    };
    /** Clock reading at which the store answered again after its last outage, in milliseconds. */
    let storeReturnedMs: number | undefined;
    const recordReturn = (atMs: number): void => {
        if (atMs > (storeReturnedMs ?? -Infinity)) {
            storeReturnedMs = atMs;
            applyDirectory({ kind: "store_returned", atMs });
        }
    };
    health.onRecovery(() => recordReturn(clock.nowMs()));
    const feeds: Readonly<Record<ViewPart, KeyFeed>> = {
        config: createKeyFeed(operatorKeys),
        engines: createKeyFeed(engineKeys),
        hosts: createKeyFeed(records.listener),
    };
    /** Bytes that this host's link carries within the time for a reply to a host that follows it. */
    const linkBytes = computeLinkBytes(deployment.linkMbps, VIEW_REPLY_MS);
    const readAges = (): ViewAges => {
        const { configApplyMs, engineDrainMs } = context.readBounds();
        return chooseViewAges(Math.min(configApplyMs, engineDrainMs));
    };
    const rank = (key: string, hosts: readonly HostId[]) => rankByRendezvous(hash, key, hosts);
    const readRole = (): ViewRole =>
        readAges().mayFollow
            ? role ??= chooseViewRole(deployment.host, [...members.values()], rank)
            : { isFollowed: false, sources: [], readers: members.size, followers: 0 };
    const findMembers = (hosts: readonly HostId[]): readonly Member[] =>
        hosts.map(host => members.get(host)).filter(member => member !== undefined);
    const listSources = (): readonly Member[] => findMembers(readRole().sources);
    /** The watches of the parts, once they run. */
    const watches: StoreWatch[] = [];
    const isStoreFailing = (): boolean => watches.some(watch => watch.isFailing);
    /** Lists the hosts to ask while the store doesn't answer this one; none while it does. */
    const listHelpers = (): readonly Member[] =>
        isStoreFailing()
            ? findMembers(rankViewHelpers(deployment.host, [...members.values()], rank))
            : [];
    const follower = startViewFollower(context, {
        feeds,
        listSources,
        listHelpers,
        readMaxBytes: () => isStoreFailing() ? undefined : linkBytes,
        readPeers,
        readAges,
        onStoreReturned: agoMs => recordReturn(clock.nowMs() - agoMs),
    });
    const countReaders = (): number => {
        const { isFollowed, readers } = readRole();
        return isFollowed ? readers : members.size;
    };
    const watchPart = (part: ViewPart, prefix: string, readIntervalMs: () => number): StoreWatch =>
        startStoreWatch(context, health, {
            prefix,
            feed: feeds[part],
            readIntervalMs,
            maxAgeMs: () => context.readBounds().contactMs,
            maxWaitMs: () => readRole().isFollowed ? readAges().maxWaitMs : Infinity,
            listSpreadMs: () => Math.min(MAX_LIST_SPREAD_MS, members.size * LIST_SPREAD_PER_HOST_MS),
            isFollowing: () => follower.isFollowing(part),
            isLarge: () => follower.isLarge(part),
        });
    watches.push(
        watchPart("config", OPERATOR_PREFIX, () => CONFIG_WATCH_INTERVAL_MS),
        watchPart(
            "engines",
            ENGINE_PREFIX,
            () => chooseWatchInterval(countReaders(), ENGINE_WATCH_INTERVAL_MS, ENGINE_WATCH_INTERVAL_PER_HOST_MS),
        ),
        watchPart(
            "hosts",
            SYSTEM_PREFIX,
            () => chooseWatchInterval(countReaders(), HOST_WATCH_INTERVAL_MS, HOST_WATCH_INTERVAL_PER_HOST_MS),
        ),
    );
    const readAgeMs = (part: ViewPart): number | undefined => {
        const { confirmation } = feeds[part];
        return confirmation === undefined ? undefined : Math.round(clock.nowMs() - confirmation.atMs);
    };
    const exposeAges = (): void => {
        for (const part of ["config", "engines", "hosts"] as const) {
            metrics.set("store_view_age_ms", readAgeMs(part) ?? NaN, { part });
        }
    };
    const cancelExpiry = repeat(clock, EXPIRY_CHECK_INTERVAL_MS, () => {
        applyDirectory({ kind: "tick", atMs: clock.nowMs() });
        exposeAges();
        records.prune(engine => directory.engines.has(engine));
    });
    return {
        get config() {
            return config;
        },
        get engines() {
            return directory.engines;
        },
        members,
        claims: records.claims,
        quarantined: records.quarantined,
        recordedVersions: records.recordedVersions,
        originRules: records.originRules,
        get storeEpoch() {
            return records.storeEpoch;
        },
        onQuarantine: records.onQuarantine,
        onQuarantineLost: records.onQuarantineLost,
        readAgeMs,
        confirmEngines: createViewConfirmation(context, ENGINE_PREFIX, feeds.engines),
        readConfirmedFrom: part => feeds[part].confirmation?.from,
        get hasReadHostKeys() {
            return records.hostKeyLists > 0;
        },
        get hostKeyLists() {
            return records.hostKeyLists;
        },
        get hostKeysListedMs() {
            return records.hostKeysListedMs;
        },
        findRelease: (model, adapter) => releases.get(formatReleaseKey(model, adapter)),
        markReplaced(entry) {
            log.write("info", 212, { engine: entry.id, reason: "another engine has its address" });
            applyDirectory({ kind: "replaced", engine: entry.id, bornMs: entry.bornMs });
        },
        onRelease: listener => void releaseListeners.push(listener),
        onLoadRequests: records.onLoadRequests,
        onEngineRemoved: listener => void removalListeners.push(listener),
        get isFollowed() {
            return readRole().isFollowed;
        },
        async answer(request) {
            const maxBytes = linkBytes / Math.max(1, readRole().followers);
            const parts = await answerView(clock, feeds, request, maxBytes);
            const storeReturnedAgoMs = storeReturnedMs === undefined ? undefined : clock.nowMs() - storeReturnedMs;
            return { parts, storeReturnedAgoMs };
        },
        stop() {
            cancelExpiry();
            follower.stop();
            watches.forEach(watch => watch.stop());
        },
    };
}
