import {
    chooseViewAges,
    chooseViewRole,
    chooseWatchInterval,
    createKeyFeed,
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
import type { AdapterName, BaseModel, ClockReading, EngineId, HostId, Suspect } from "@fulmarcleat/ids";
import {
    CONFIG_KEY,
    ENGINE_PREFIX,
    OPERATOR_PREFIX,
    parseAdapterRelease,
    parseEngineEntry,
    parseServingConfig,
    RELEASE_PREFIX,
} from "@fulmarcleat/platform";
import type { AdapterLoadRequest, PeerClient, ViewPart, ViewReply, ViewRequest } from "@fulmarcleat/wire";
import { answerView } from "./answerView.js";
import { createOwnerClaims } from "./createOwnerClaims.js";
import type { OwnerClaims } from "./createOwnerClaims.js";
import { createViewConfirmation } from "./createViewConfirmation.js";
import { formatReleaseKey } from "./formatReleaseKey.js";
import type { FrontContext } from "./frontContext.js";
import {
    formatMemberKey,
    formatOwnerKey,
    formatQuarantineKey,
    parseHostKey,
    parseLoadRequests,
    parseMember,
    parseOwner,
    SYSTEM_PREFIX,
} from "./hostKeys.js";
import type { Member, RecordedVersion, StoredQuarantine } from "./hostKeys.js";
import { logEngineChanges } from "./logEngineChanges.js";
import { runEach } from "./runEach.js";
import { startStoreWatch } from "./startStoreWatch.js";
import type { StoreWatch } from "./startStoreWatch.js";
import { startViewFollower } from "./startViewFollower.js";
import type { StoreHealth } from "./storeHealth.js";

/** This host's copy of the configuration, the engines and the other hosts, as read from the store. */
export interface ClusterView {
    readonly config: ServingConfig | undefined;
    readonly engines: ReadonlyMap<EngineId, KnownEngine>;
    /** Live hosts, this one included. */
    readonly members: ReadonlyMap<HostId, Member>;
    /** Owner keys of the engines. */
    readonly claims: OwnerClaims;
    /** Software versions of services that are in use, or were until lately, by their keys in the store. */
    readonly recordedVersions: ReadonlyMap<string, RecordedVersion>;
    /** Prompt parts and requests that are quarantined in the store. */
    readonly quarantined: ReadonlyMap<Suspect, StoredQuarantine>;
    /** Calls a listener when a quarantine is set, renewed or lifted in the store. */
    onQuarantine(listener: (suspect: Suspect, isSet: boolean) => void): void;
    /** Time since the store last confirmed a part of this view, in milliseconds; undefined before it first did. */
    readAgeMs(part: ViewPart): number | undefined;
    /** Brings the engines up to date with a call to the store; resolves to whether it has answered. */
    confirmEngines(): Promise<boolean>;
    /** Returns when the call was sent whose reply last confirmed a part of this view; undefined before the first. */
    readConfirmedFrom(part: ViewPart): ClockReading | undefined;
    /** Whether the system's keys have been listed at least once since the start. */
    readonly hasReadHostKeys: boolean;
    /** How often the system's keys were listed; changes before the last list may have gone unseen. */
    readonly hostKeyLists: number;
    /** Clock reading of the last list of the system's keys, in milliseconds; all changes since have been received. */
    readonly hostKeysListedMs: number;
    /** Returns the newest declared version of an adapter; undefined if none was declared. */
    findRelease(model: BaseModel, adapter: AdapterName): number | undefined;
    /** Records that another engine answers at an engine's address; the entry is unused until the engine restarts. */
    markReplaced(entry: EngineEntry): void;
    /** Calls a listener with each newly declared adapter version. */
    onRelease(listener: (release: AdapterRelease) => void): void;
    /** Calls a listener with each engine that is removed from the directory. */
    onEngineRemoved(listener: (entry: EngineEntry) => void): void;
    /** Calls a listener with the load requests that hosts write to the store for engines' owners. */
    onLoadRequests(listener: (loadRequests: readonly AdapterLoadRequest[]) => void): void;
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
    let directory: DirectoryState = { engines: new Map(), graceUntilMs: 0 };
    let hostKeyLists = 0;
    let hostKeysListedMs = 0;
    const releases = new Map<string, number>();
    const members = new Map<HostId, Member>();
    const claims = createOwnerClaims(clock);
    const quarantined = new Map<Suspect, StoredQuarantine>();
    const recordedVersions = new Map<string, RecordedVersion>();
    /** This host's role among its members; undefined once they have changed. */
    let role: ViewRole | undefined;
    const quarantineListeners: ((suspect: Suspect, isSet: boolean) => void)[] = [];
    const releaseListeners: ((release: AdapterRelease) => void)[] = [];
    const removalListeners: ((entry: EngineEntry) => void)[] = [];
    const loadRequestListeners: ((loadRequests: readonly AdapterLoadRequest[]) => void)[] = [];
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
    const applyHostItem = (item: StoreItem): void => {
        const key = parseHostKey(item.key);
        switch (key.kind) {
            case "member": {
                const member = parseMember(key.host, item.value);
                if (member !== undefined) {
                    members.set(key.host, member);
                    role = undefined;
                    claims.putMember(member);
                }
                return;
            }
            case "owner": {
                const owner = parseOwner(item.value);
                if (owner !== undefined) {
                    claims.put(key.engine, { ...owner, revision: item.revision });
                }
                return;
            }
            case "quarantine":
                if (quarantined.get(key.suspect)?.revision !== item.revision) {
                    quarantined.set(key.suspect, { revision: item.revision, sinceMs: clock.nowMs() });
                    quarantineListeners.forEach(listener => listener(key.suspect, true));
                }
                return;
            case "version":
                recordedVersions.set(item.key, { ...key.version, revision: item.revision });
                return;
            case "wants":
                loadRequestListeners.forEach(listener => listener(parseLoadRequests(item.value)));
                return;
            case "other":
                return;
        }
    };
    const removeHostKey = (text: string): void => {
        const key = parseHostKey(text);
        switch (key.kind) {
            case "member":
                members.delete(key.host);
                role = undefined;
                return;
            case "owner":
                claims.remove(key.engine);
                return;
            case "quarantine":
                if (quarantined.delete(key.suspect)) {
                    quarantineListeners.forEach(listener => listener(key.suspect, false));
                }
                return;
            case "version":
                recordedVersions.delete(text);
                return;
            case "wants":
            case "other":
                return;
        }
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
        listed(items) {
            const entries = items.map(parseEntry).filter(entry => entry !== undefined);
            applyDirectory({ kind: "listed", entries, atMs: clock.nowMs() });
        },
        changed(events) {
            events.forEach(event =>
                event.kind === "put"
                    ? applyAlone(event.item.key, () => applyEngineItem(event.item))
                    : applyAlone(event.key, () => removeEngine(event.key))
            );
        },
    };
    const hostKeys: FeedListener = {
        listed(items) {
            const present = new Set(items.map(item => item.key));
            [
                ...[...members.keys()].map(formatMemberKey),
                ...[...claims.current.keys()].map(formatOwnerKey),
                ...[...quarantined.keys()].map(formatQuarantineKey),
                ...recordedVersions.keys(),
            ]
                .filter(key => !present.has(key))
                .forEach(removeHostKey);
            items.filter(item => parseHostKey(item.key).kind !== "wants")
                .forEach(item => applyAlone(item.key, () => applyHostItem(item)));
            hostKeyLists += 1;
            hostKeysListedMs = clock.nowMs();
        },
        changed: events =>
            events.forEach(event =>
                event.kind === "put"
                    ? applyAlone(event.item.key, () => applyHostItem(event.item))
                    : applyAlone(event.key, () => removeHostKey(event.key))
            ),
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
        hosts: createKeyFeed(hostKeys),
    };
    const readAges = (): ViewAges => {
        const { configApplyMs, engineDrainMs } = context.readBounds();
        return chooseViewAges(Math.min(configApplyMs, engineDrainMs));
    };
    const rank = (key: string, hosts: readonly HostId[]) => rankByRendezvous(hash, key, hosts);
    const readRole = (): ViewRole =>
        readAges().mayFollow
            ? role ??= chooseViewRole(deployment.host, [...members.values()], rank)
            : { isFollowed: false, sources: [], readers: members.size };
    const listSources = (): readonly Member[] =>
        readRole().sources.map(host => members.get(host)).filter(member => member !== undefined);
    const follower = startViewFollower(context, {
        feeds,
        listSources,
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
            isFollowing: () => follower.isFollowing(),
        });
    const watches: readonly StoreWatch[] = [
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
    ];
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
        claims.prune(host => members.has(host), engine => directory.engines.has(engine));
    });
    return {
        get config() {
            return config;
        },
        get engines() {
            return directory.engines;
        },
        members,
        claims,
        quarantined,
        recordedVersions,
        onQuarantine: listener => void quarantineListeners.push(listener),
        readAgeMs,
        confirmEngines: createViewConfirmation(context, ENGINE_PREFIX, feeds.engines),
        readConfirmedFrom: part => feeds[part].confirmation?.from,
        get hasReadHostKeys() {
            return hostKeyLists > 0;
        },
        get hostKeyLists() {
            return hostKeyLists;
        },
        get hostKeysListedMs() {
            return hostKeysListedMs;
        },
        findRelease: (model, adapter) => releases.get(formatReleaseKey(model, adapter)),
        markReplaced(entry) {
            log.write("info", 212, { engine: entry.id, reason: "another engine has its address" });
            applyDirectory({ kind: "replaced", engine: entry.id, bornMs: entry.bornMs });
        },
        onRelease: listener => void releaseListeners.push(listener),
        onLoadRequests: listener => void loadRequestListeners.push(listener),
        onEngineRemoved: listener => void removalListeners.push(listener),
        get isFollowed() {
            return readRole().isFollowed;
        },
        async answer(request) {
            const parts = await answerView(clock, feeds, request);
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
