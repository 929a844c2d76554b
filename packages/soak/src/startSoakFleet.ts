import { createSystemClock } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";
import { createEngineStandin, createStoreStandin, declareVersion, writeConfig } from "@fulmarcleat/platform-standin";
import type { EngineStandin, StandinRoute, StoreStandin } from "@fulmarcleat/platform-standin";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EngineRecord } from "./checkAnswers.js";
import { createFrontProcess } from "./createFrontProcess.js";
import type { FrontProcess } from "./createFrontProcess.js";
import { createLoopbackProxy } from "./createLoopbackProxy.js";
import type { LoopbackProxy } from "./createLoopbackProxy.js";

/** Real front processes before stand-ins of the platform, with a proxy on each of their links. */
export interface SoakFleet {
    readonly clock: Clock;
    readonly store: StoreStandin;
    readonly fronts: readonly FrontProcess[];
    readonly storeLinks: readonly LoopbackProxy[];
    readonly engineLinks: readonly LoopbackProxy[];
    /** Newest declared version of each adapter, and since when, in milliseconds. */
    readonly versions: ReadonlyMap<string, { readonly version: number; readonly sinceMs: number }>;
    readonly configVersion: number;
    /** Takes in that a fault begins and how long it lasts, in milliseconds. */
    noteFault(forMs: number): void;
    /** Whether no fault has been there for a time, in milliseconds. */
    isCalm(forMs: number): boolean;
    engine(index: number): EngineStandin | undefined;
    /** Puts a new engine in the place of one. */
    replaceEngine(index: number): Promise<void>;
    writeNewConfig(): void;
    writeNewVersion(adapter: string): void;
    record(): EngineRecord;
    close(): Promise<void>;
}

/** Size of a fleet. */
export interface SoakSize {
    readonly hosts: number;
    readonly modelEngines: number;
    readonly plainEngines: number;
}

/** Host name that clients ask for. */
export const HOST_NAME = "shop.example";
/** The base model. */
export const MODEL = "base";
const PLAIN_SERVICE = "portal";
const MODEL_SERVICE = "models";
/** Places for adapters on one engine; fewer than the adapters that clients ask for. */
const PLACES = 4;
/** Time that a planned stop may take, in seconds. */
const STOP_S = 6;
const BYTE = 254;
/** First port of the hosts; below those that the kernel gives to outgoing connections. */
const FIRST_PORT = 20_000;
const PORTS_PER_HOST = 4;
const ROUTES: readonly StandinRoute[] = [
    { name: "status", kind: "safe", pathPrefix: "/status/", service: PLAIN_SERVICE },
    { name: "orders", kind: "unsafe", pathPrefix: "/orders/", service: PLAIN_SERVICE },
    { name: "answers", kind: "streaming", pathPrefix: "/answers/", service: MODEL_SERVICE },
].map(route => ({ ...route, hostName: HOST_NAME, timeoutMs: 5000 } as StandinRoute));

/**
 * Starts the stand-ins, proxies and processes of a soak.
 *
 * @param size - Hosts and engines
 * @returns the fleet; its processes have been started
 *
 * @example
 * const fleet = await startSoakFleet({ hosts: 3, modelEngines: 4, plainEngines: 2 });
 */
export async function startSoakFleet(size: SoakSize): Promise<SoakFleet> {
    const clock = createSystemClock();
    const ip = chooseOwnAddress(process.pid);
    const folder = await mkdtemp(join(tmpdir(), "fulmarcleat-soak-"));
    const store = await createStoreStandin(clock);
    const versions = new Map<string, { readonly version: number; readonly sinceMs: number }>();
    const everyEngine: EngineStandin[] = [];
    const engines: EngineStandin[] = [];
    const engineLinks: LoopbackProxy[] = [];
    let configVersion = 0;
    let faultsEndAtMs = -Infinity;
    let bornEngines = 0;
    const writeNewConfig = (): void => {
        configVersion += 1;
        const added = { name: `extra-${configVersion}`, pathPrefix: `/extra-${configVersion}/` };
        writeConfig(store, {
            version: configVersion,
            routes: [...ROUTES, { ...ROUTES[0], ...added } as StandinRoute],
            plainService: PLAIN_SERVICE,
            modelService: MODEL_SERVICE,
            model: MODEL,
            places: PLACES,
        });
    };
    const startEngine = async (index: number): Promise<void> => {
        bornEngines += 1;
        const isModel = index < size.modelEngines;
        const engine = await createEngineStandin({
            id: `i-${bornEngines}`,
            service: isModel ? MODEL_SERVICE : PLAIN_SERVICE,
            domain: "a",
            store,
            clock,
            model: isModel ? { name: MODEL, places: PLACES } : undefined,
            async announcedPort(port) {
                const link = await createLoopbackProxy(port);
                engineLinks[index] = link;
                return link.port;
            },
        });
        engines[index] = engine;
        everyEngine.push(engine);
    };
    writeNewConfig();
    for (let index = 0; index < size.modelEngines + size.plainEngines; index += 1) {
        await startEngine(index);
    }
    const storeLinks: LoopbackProxy[] = [];
    const fronts: FrontProcess[] = [];
    for (let index = 0; index < size.hosts; index += 1) {
        const link = await createLoopbackProxy(store.port);
        const firstPort = FIRST_PORT + index * PORTS_PER_HOST;
        storeLinks.push(link);
        const host = {
            name: `front-${index}`,
            domain: "a",
            ip,
            clientPort: firstPort,
            readinessPort: firstPort + 1,
            ownPorts: [firstPort + 2, firstPort + 3] as const,
            storePort: link.port,
            stopS: STOP_S,
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
        versions,
        get configVersion() {
            return configVersion;
        },
        noteFault: forMs => void (faultsEndAtMs = Math.max(faultsEndAtMs, performance.now() + forMs)),
        isCalm: forMs => performance.now() - faultsEndAtMs > forMs,
        engine: index => engines[index],
        replaceEngine: startEngine,
        writeNewConfig,
        writeNewVersion(adapter) {
            const version = (versions.get(adapter)?.version ?? 1) + 1;
            declareVersion(store, MODEL, adapter, version);
            versions.set(adapter, { version, sinceMs: performance.now() });
        },
        record: () => ({
            runs: everyEngine.flatMap(engine => engine.runs),
            misorders: everyEngine.flatMap(engine => engine.misorders),
        }),
        async close() {
            await Promise.all(fronts.map(front => front.close()));
            everyEngine.forEach(engine => engine.crash());
            [...storeLinks, ...engineLinks].forEach(link => link.close());
            store.close();
            await rm(folder, { recursive: true, force: true });
        },
    };
}

/** Gives each run a loopback address of its own, so that runs beside each other share no ports. */
function chooseOwnAddress(pid: number): string {
    return `127.${1 + (pid >> 16) % BYTE}.${(pid >> 8) % BYTE}.${2 + pid % (BYTE - 2)}`;
}
