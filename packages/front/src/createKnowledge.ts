import { chooseWatchGap, reduceDirectory } from "@fulmarcleat/directory";
import type {
    AdapterRelease,
    DirectoryMessage,
    DirectoryState,
    EngineEntry,
    KnownEngine,
    ServingConfig,
    StoreItem,
} from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";
import {
    CONFIG_KEY,
    ENGINE_PREFIX,
    OPERATOR_PREFIX,
    parseAdapterRelease,
    parseEngineEntry,
    parseServingConfig,
    RELEASE_PREFIX,
} from "@fulmarcleat/platform";
import type { OwnerClaim } from "@fulmarcleat/residency";
import type { AdapterLoadAsk } from "@fulmarcleat/wire";
import type { FrontContext } from "./frontContext.js";
import {
    formatMemberKey,
    formatOwnerKey,
    parseHostKey,
    parseMember,
    parseOwner,
    parseWants,
    SYSTEM_PREFIX,
} from "./hostKeys.js";
import type { Member } from "./hostKeys.js";
import { startStoreWatch } from "./startStoreWatch.js";
import type { StoreListener, StoreWatch } from "./startStoreWatch.js";
import type { StoreHealth } from "./storeHealth.js";

/** What a host knows of configuration, engines and other hosts. */
export interface Knowledge {
    readonly config: ServingConfig | undefined;
    readonly engines: ReadonlyMap<EngineId, KnownEngine>;
    readonly members: ReadonlyMap<HostId, Member>;
    readonly claims: ReadonlyMap<EngineId, OwnerClaim>;
    /** Since when each engine has had no owner, in milliseconds. */
    readonly unownedSince: ReadonlyMap<EngineId, number>;
    /** Whether the system's keys have been read since the start. */
    readonly hasHosts: boolean;
    /** Newest declared version of an adapter; undefined where none was declared. */
    findRelease(model: BaseModel, adapter: AdapterName): number | undefined;
    /** Another engine has an engine's address; it is not used until it starts anew. */
    noteReplaced(entry: EngineEntry): void;
    /** Calls a listener with each newly declared version. */
    onRelease(listener: (release: AdapterRelease) => void): void;
    onEngineGone(listener: (entry: EngineEntry) => void): void;
    /** Calls a listener with the load asks that hosts leave in the store. */
    onWants(listener: (asks: readonly AdapterLoadAsk[]) => void): void;
    stop(): void;
}

/** Shortest time between two calls of the configuration's watch, in milliseconds. */
const CONFIG_GAP_MS = 60;
/** The same for engines' entries, which change often, in milliseconds. */
const ENGINE_GAP_MS = 350;
/** What each host adds to it, in milliseconds; all hosts' calls stay below 60 a second. */
const ENGINE_GAP_PER_HOST_MS = 18;
/** The same as the first for the system's own keys, in milliseconds. */
const HOST_GAP_MS = 120;
/** What each host adds to it, in milliseconds; owners and hosts change seldom. */
const HOST_GAP_PER_HOST_MS = 6;
/** How often engines whose time is over are dropped, in milliseconds. */
const TICK_MS = 200;

/**
 * Follows the store's keys and keeps what they say.
 *
 * @param context - Store, clock and log
 * @param health - Takes in whether the store answers
 * @returns the knowledge, growing as the store answers
 *
 * @example
 * const knowledge = createKnowledge(context, health);
 */
export function createKnowledge(context: FrontContext, health: StoreHealth): Knowledge {
    const { clock, log } = context;
    let config: ServingConfig | undefined;
    let directory: DirectoryState = { engines: new Map(), graceUntilMs: 0 };
    let hasHosts = false;
    const releases = new Map<string, number>();
    const members = new Map<HostId, Member>();
    const claims = new Map<EngineId, OwnerClaim>();
    const unownedSince = new Map<EngineId, number>();
    const releaseListeners: ((release: AdapterRelease) => void)[] = [];
    const goneListeners: ((entry: EngineEntry) => void)[] = [];
    const wantListeners: ((asks: readonly AdapterLoadAsk[]) => void)[] = [];
    const unreadable = new Set<string>();

    const noteUnreadable = (key: string): void => {
        if (!unreadable.has(key)) {
            unreadable.add(key);
            log.write("warn", 213, { key });
        }
    };
    const takeRelease = (item: StoreItem): void => {
        const release = parseAdapterRelease(item.value);
        if (release === undefined) {
            noteUnreadable(item.key);
            return;
        }
        const key = formatReleaseKey(release.model, release.adapter);
        if ((releases.get(key) ?? -1) < release.version) {
            releases.set(key, release.version);
            log.write("info", 503, { adapter: release.adapter, version: release.version });
            releaseListeners.forEach(listener => listener(release));
        }
    };
    const takeConfig = (item: StoreItem): void => {
        const parsed = parseServingConfig(item.value);
        if (parsed === undefined) {
            noteUnreadable(item.key);
            return;
        }
        if (config === undefined || parsed.version > config.version) {
            log.write("info", 500, { version: parsed.version, former: config?.version, revision: item.revision });
            config = parsed;
        }
    };
    const takeOperatorItem = (item: StoreItem): void => {
        if (item.key === CONFIG_KEY) {
            takeConfig(item);
        }
        else if (item.key.startsWith(RELEASE_PREFIX)) {
            takeRelease(item);
        }
    };
    const applyDirectory = (message: DirectoryMessage): void => {
        const before = directory.engines;
        directory = reduceDirectory(directory, message);
        if (directory.engines !== before) {
            logEngines(before, directory.engines, context);
            for (const [id, known] of before) {
                if (!directory.engines.has(id)) {
                    goneListeners.forEach(listener => listener(known.entry));
                }
            }
        }
    };
    const parseEntry = (item: StoreItem): EngineEntry | undefined => {
        const entry = parseEngineEntry(item.key, item.value);
        if (entry === undefined) {
            noteUnreadable(item.key);
        }
        return entry;
    };
    const takeHostItem = (item: StoreItem): void => {
        const key = parseHostKey(item.key);
        switch (key.kind) {
            case "member": {
                const member = parseMember(key.host, item.value);
                if (member !== undefined) {
                    members.set(key.host, member);
                }
                return;
            }
            case "owner": {
                const owner = parseOwner(item.value);
                if (owner !== undefined) {
                    claims.set(key.engine, { ...owner, revision: item.revision });
                    if (owner.isReleased) {
                        unownedSince.set(key.engine, clock.nowMs());
                    }
                    else {
                        unownedSince.delete(key.engine);
                    }
                }
                return;
            }
            case "wants":
                wantListeners.forEach(listener => listener(parseWants(item.value)));
                return;
            case "other":
                return;
        }
    };
    const dropHostKey = (text: string): void => {
        const key = parseHostKey(text);
        switch (key.kind) {
            case "member":
                members.delete(key.host);
                return;
            case "owner":
                claims.delete(key.engine);
                unownedSince.set(key.engine, clock.nowMs());
                return;
            case "wants":
            case "other":
                return;
        }
    };
    const operatorKeys: StoreListener = {
        listed: items => items.forEach(takeOperatorItem),
        changed: events => events.forEach(event => event.kind === "put" && takeOperatorItem(event.item)),
    };
    const engineKeys: StoreListener = {
        listed(items) {
            const entries = items.map(parseEntry).filter(entry => entry !== undefined);
            applyDirectory({ kind: "listed", entries, atMs: clock.nowMs() });
        },
        changed(events) {
            for (const event of events) {
                if (event.kind === "removed") {
                    const engine = brandId<EngineId>(event.key.slice(ENGINE_PREFIX.length));
                    applyDirectory({ kind: "removed", engine, atMs: clock.nowMs() });
                    continue;
                }
                const entry = parseEntry(event.item);
                if (entry !== undefined) {
                    applyDirectory({ kind: "entry", entry, atMs: clock.nowMs() });
                }
            }
        },
    };
    const hostKeys: StoreListener = {
        listed(items) {
            const present = new Set(items.map(item => item.key));
            [...members.keys()].filter(host => !present.has(formatMemberKey(host)))
                .forEach(host => members.delete(host));
            [...claims.keys()].map(formatOwnerKey).filter(key => !present.has(key)).forEach(dropHostKey);
            items.filter(item => parseHostKey(item.key).kind !== "wants").forEach(takeHostItem);
            hasHosts = true;
        },
        changed: events =>
            events.forEach(event => event.kind === "put" ? takeHostItem(event.item) : dropHostKey(event.key)),
    };
    health.onReturn(() => applyDirectory({ kind: "store_returned", atMs: clock.nowMs() }));
    const follow = (prefix: string, listener: StoreListener, readGapMs: () => number): StoreWatch =>
        startStoreWatch(context, health, { prefix, readGapMs }, listener);
    const watches = [
        follow(OPERATOR_PREFIX, operatorKeys, () => CONFIG_GAP_MS),
        follow(ENGINE_PREFIX, engineKeys, () => chooseWatchGap(members.size, ENGINE_GAP_MS, ENGINE_GAP_PER_HOST_MS)),
        follow(SYSTEM_PREFIX, hostKeys, () => chooseWatchGap(members.size, HOST_GAP_MS, HOST_GAP_PER_HOST_MS)),
    ];
    let isStopped = false;
    const tick = (): void => {
        if (!isStopped) {
            applyDirectory({ kind: "tick", atMs: clock.nowMs() });
            clock.setTimer(TICK_MS, tick);
        }
    };
    tick();
    return {
        get config() {
            return config;
        },
        get engines() {
            return directory.engines;
        },
        members,
        claims,
        unownedSince,
        get hasHosts() {
            return hasHosts;
        },
        findRelease: (model, adapter) => releases.get(formatReleaseKey(model, adapter)),
        noteReplaced(entry) {
            log.write("info", 212, { engine: entry.id, reason: "another engine has its address" });
            applyDirectory({ kind: "replaced", engine: entry.id, bornMs: entry.bornMs });
        },
        onRelease: listener => void releaseListeners.push(listener),
        onWants: listener => void wantListeners.push(listener),
        onEngineGone: listener => void goneListeners.push(listener),
        stop() {
            isStopped = true;
            watches.forEach(watch => watch.stop());
        },
    };
}

function formatReleaseKey(model: BaseModel, adapter: AdapterName): string {
    return `${model}/${adapter}`;
}

function logEngines(
    before: ReadonlyMap<EngineId, KnownEngine>,
    after: ReadonlyMap<EngineId, KnownEngine>,
    { log }: FrontContext,
): void {
    for (const [id, known] of after) {
        const former = before.get(id);
        if (former === undefined || former.entry.bornMs !== known.entry.bornMs) {
            const { service, address, bornMs } = known.entry;
            log.write("info", 210, { engine: id, service, ip: address.ip, port: address.port, bornMs });
        }
        if (!known.isUsable && former?.isUsable !== false) {
            log.write("info", 211, { engine: id, leavesInMs: known.entry.leavesInMs });
        }
    }
    for (const id of before.keys()) {
        if (!after.has(id)) {
            log.write("info", 212, { engine: id });
        }
    }
}
