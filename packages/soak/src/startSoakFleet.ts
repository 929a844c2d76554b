import { createSystemClock } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";
import { createEngineStandin, createStoreStandin, declareVersion, writeConfig } from "@fulmarcleat/platform-standin";
import type { EngineStandin, StandinAccount, StandinRoute, StoreStandin } from "@fulmarcleat/platform-standin";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EngineRecord } from "./checkAnswers.js";
import { createEnginePaths } from "./createEnginePaths.js";
import type { EnginePaths } from "./createEnginePaths.js";
import { createFrontProcess } from "./createFrontProcess.js";
import type { FrontProcess } from "./createFrontProcess.js";
import { createKeyHistory } from "./createKeyHistory.js";
import type { KeyHistory } from "./createKeyHistory.js";
import { createLoopbackProxy } from "./createLoopbackProxy.js";
import type { LoopbackProxy } from "./createLoopbackProxy.js";
import { FIRST_ACCOUNTS } from "./soakAccounts.js";

/** Front processes and stand-ins of the platform; proxies are on each link to the store and in front of each engine. */
export interface SoakFleet {
    readonly clock: Clock;
    readonly store: StoreStandin;
    readonly fronts: readonly FrontProcess[];
    readonly storeLinks: readonly LoopbackProxy[];
    /** One proxy in front of each engine, for the connections of all hosts. */
    readonly engineLinks: readonly LoopbackProxy[];
    /** The paths from each host to the proxies in front of the engines. */
    readonly enginePaths: readonly EnginePaths[];
    /** Newest declared version of each adapter, and when it was declared, in milliseconds of `performance.now()`. */
    readonly versions: ReadonlyMap<string, { readonly version: number; readonly sinceMs: number }>;
    readonly configVersion: number;
    /** Accounts of all configurations; undefined if they have none. */
    readonly keys: KeyHistory | undefined;
    /** For how long a host goes on with a configuration that it can't confirm, in milliseconds. */
    readonly maxConfigAgeMs: number;
    /** Records that a fault starts now and lasts `forMs` milliseconds. */
    recordFault(forMs: number): void;
    /** Whether the last fault ended more than `forMs` milliseconds ago. */
    isFaultFree(forMs: number): boolean;
    /** Current engine at an index; model engines come first, then those of the plain service. */
    getEngine(index: number): EngineStandin | undefined;
    /** Starts a new engine at the index of a former one. */
    replaceEngine(index: number): Promise<void>;
    /** Writes the next configuration version to the store, with the accounts of the one before unless others are given. */
    publishNewConfig(accounts?: readonly StandinAccount[]): void;
    /** Declares the next version of an adapter. */
    publishNewVersion(adapter: string): void;
    /** Runs and invalid orders of all engines, also of replaced ones. */
    readEngineRecord(): EngineRecord;
    close(): Promise<void>;
}

/** Number of hosts, failure domains, engines and versions of the engines' software in a fleet, and how these behave. */
export interface SoakSize {
    readonly hosts: number;
    /** Number of failure domains; hosts and engines are in them by turns. */
    readonly domains: number;
    readonly modelEngines: number;
    readonly plainEngines: number;
    readonly softwareVersions: number;
    /** Whether model engines truncate some of their streams; true by default. */
    readonly truncatesStreams?: boolean | undefined;
    /** Whether the configuration has accounts; false by default. */
    readonly hasAccounts?: boolean | undefined;
    /** Time after which a host that can't confirm its configuration refuses keys, in milliseconds; undefined for never. */
    readonly revokeMs?: number | undefined;
}

/** Host name in the requests of clients. */
export const HOST_NAME = "shop.example";
/** Name of the base model. */
export const MODEL = "base";
const PLAIN_SERVICE = "portal";
const MODEL_SERVICE = "models";
/** Adapter slots of one engine; fewer than the adapters that clients request, so that adapters are evicted. */
const ADAPTER_SLOTS = 4;
/** Of each so many streams of a model engine, one is truncated. */
const TRUNCATED_STREAM_INTERVAL = 12;
/** Longest duration of a graceful stop, in seconds. */
const STOP_TIMEOUT_S = 6;
/** Number of values that each octet of a loopback address is drawn from. */
const OCTET_VALUES = 254;
/** First port of the hosts; below the range that the kernel assigns to outgoing connections. */
const FIRST_PORT = 20_000;
/** Number of ports of each host: one for clients, one for readiness and six of its own. */
const PORTS_PER_HOST = 8;
const ROUTES: readonly StandinRoute[] = [
    { name: "status", kind: "safe", pathPrefix: "/status/", service: PLAIN_SERVICE },
    { name: "orders", kind: "unsafe", pathPrefix: "/orders/", service: PLAIN_SERVICE },
    { name: "answers", kind: "streaming", pathPrefix: "/answers/", service: MODEL_SERVICE },
].map(route => ({ ...route, hostName: HOST_NAME, timeoutMs: 5000 } as StandinRoute));
/** Route whose requests need no key. */
const OPEN_ROUTE: StandinRoute = {
    name: "open",
    kind: "safe",
    hostName: HOST_NAME,
    pathPrefix: "/open/",
    service: PLAIN_SERVICE,
    timeoutMs: 5000,
    isAnonymous: true,
};

/**
 * Starts the stand-ins, proxies and front processes of a soak.
 *
 * @param size - Number of hosts and engines
 * @returns the fleet; its processes are started, but may not be ready yet
 *
 * @example
 * const size = { hosts: 3, domains: 1, modelEngines: 4, plainEngines: 2, softwareVersions: 2 };
 * const fleet = await startSoakFleet(size);
 */
export async function startSoakFleet(size: SoakSize): Promise<SoakFleet> {
    const clock = createSystemClock();
    const ip = chooseLoopbackAddress(process.pid);
    const folder = await mkdtemp(join(tmpdir(), "fulmarcleat-soak-"));
    const store = await createStoreStandin(clock);
    const versions = new Map<string, { readonly version: number; readonly sinceMs: number }>();
    const allEngines: EngineStandin[] = [];
    const engines: EngineStandin[] = [];
    const engineLinks: LoopbackProxy[] = [];
    const enginePaths = Array.from({ length: size.hosts }, createEnginePaths);
    let configVersion = 0;
    let faultsEndAtMs = -Infinity;
    let startedEngines = 0;
    const keys = size.hasAccounts === true ? createKeyHistory() : undefined;
    const publishNewConfig = (accounts = keys?.accounts): void => {
        configVersion += 1;
        const added = { name: `extra-${configVersion}`, pathPrefix: `/extra-${configVersion}/` };
        writeConfig(store, {
            version: configVersion,
            routes: [...ROUTES, ...keys === undefined ? [] : [OPEN_ROUTE], { ...ROUTES[0], ...added } as StandinRoute],
            plainService: PLAIN_SERVICE,
            modelService: MODEL_SERVICE,
            model: MODEL,
            adapterSlots: ADAPTER_SLOTS,
            accounts,
        });
        keys?.record(accounts ?? [], clock.nowMs());
    };
    const startEngine = async (index: number): Promise<void> => {
        startedEngines += 1;
        const isModel = index < size.modelEngines;
        const engine = await createEngineStandin({
            id: `i-${startedEngines}`,
            service: isModel ? MODEL_SERVICE : PLAIN_SERVICE,
            domain: `d${index % size.domains}`,
            store,
            clock,
            softwareVersion: `v${1 + startedEngines % size.softwareVersions}`,
            truncatedStreamInterval: size.truncatesStreams === false ? undefined : TRUNCATED_STREAM_INTERVAL,
            model: isModel ? { name: MODEL, adapterSlots: ADAPTER_SLOTS } : undefined,
            async announcedPort(port) {
                const link = await createLoopbackProxy(port);
                engineLinks[index] = link;
                await Promise.all(enginePaths.map(paths => paths.open(link.port)));
                return link.port;
            },
        });
        engines[index] = engine;
        allEngines.push(engine);
    };
    publishNewConfig(keys === undefined ? undefined : FIRST_ACCOUNTS);
    for (let index = 0; index < size.modelEngines + size.plainEngines; index += 1) {
        await startEngine(index);
    }
    const storeLinks: LoopbackProxy[] = [];
    const fronts: FrontProcess[] = [];
    for (const [index, paths] of enginePaths.entries()) {
        const link = await createLoopbackProxy(await store.openListener(paths.toPathPort));
        const firstPort = FIRST_PORT + index * PORTS_PER_HOST;
        storeLinks.push(link);
        const host = {
            name: `front-${index}`,
            domain: `d${index % size.domains}`,
            ip,
            clientPort: firstPort,
            readinessPort: firstPort + 1,
            ownPorts: [firstPort + 2, firstPort + PORTS_PER_HOST - 1] as const,
            storePort: link.port,
            stopS: STOP_TIMEOUT_S,
            revokeMs: size.revokeMs,
        };
        fronts.push(await createFrontProcess(host, folder));
    }
    fronts.forEach(front => front.start());
    return {
        clock,
        store,
        fronts,
        storeLinks,
        engineLinks,
        enginePaths,
        versions,
        get configVersion() {
            return configVersion;
        },
        keys,
        maxConfigAgeMs: size.revokeMs ?? Infinity,
        recordFault: forMs => void (faultsEndAtMs = Math.max(faultsEndAtMs, performance.now() + forMs)),
        isFaultFree: forMs => performance.now() - faultsEndAtMs > forMs,
        getEngine: index => engines[index],
        replaceEngine: startEngine,
        publishNewConfig,
        publishNewVersion(adapter) {
            const version = (versions.get(adapter)?.version ?? 1) + 1;
            declareVersion(store, MODEL, adapter, version);
            versions.set(adapter, { version, sinceMs: performance.now() });
        },
        readEngineRecord: () => ({
            runs: allEngines.flatMap(engine => engine.runs),
            invalidOrders: allEngines.flatMap(engine => engine.invalidOrders),
        }),
        async close() {
            await Promise.all(fronts.map(front => front.close()));
            allEngines.forEach(engine => engine.crash());
            await Promise.all(enginePaths.map(paths => paths.close()));
            [...storeLinks, ...engineLinks].forEach(link => link.close());
            store.close();
            await rm(folder, { recursive: true, force: true });
        },
    };
}

/** Derives a loopback address from the process id, so that concurrent runs share no ports. */
function chooseLoopbackAddress(pid: number): string {
    return `127.${1 + (pid >> 16) % OCTET_VALUES}.${(pid >> 8) % OCTET_VALUES}.${2 + pid % (OCTET_VALUES - 2)}`;
}
