import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, HostId, ManualClock, ServiceName } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import type { ClusterView } from "./createClusterView.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";
import { formatVersionKey, parseHostKey } from "./hostKeys.js";
import { startVersionRecords } from "./startVersionRecords.js";
import type { VersionRecords } from "./startVersionRecords.js";
import { createStoreHealth } from "./storeHealth.js";

const SERVICE = brandId<ServiceName>("models");
const PREFIX = "fulmarcleat/version/";
const STEP_MS = 100;
/** Time in which hosts learn of a change, in milliseconds; all of them see it at once here. */
const SETTLE_MS = 1500;

let clock: ManualClock;
let store: StoreFake;
let hash: Hasher;
let engines: Map<EngineId, { readonly entry: { readonly service: ServiceName; readonly softwareVersion: string } }>;
let hosts: readonly HostId[] = [];
let cut: ReadonlySet<HostId> = new Set();
let tasks: VersionRecords[] = [];
let writes = 0;

Given(
    "{int} hosts that record software versions, and engines of the versions {string}",
    async (count: number, versions: string) => {
        clock = createManualClock(0);
        store = createStoreFake(clock);
        hash = await createHasher();
        writes = 0;
        cut = new Set();
        tasks = [];
        engines = new Map();
        versions.split(" ").forEach(addEngine);
        hosts = Array.from({ length: count }, (value, number) => brandId<HostId>(`host-${number}`));
        startAll();
        await advance(SETTLE_MS);
    },
);

When("nothing changes", () => undefined);

When("an engine of v2 comes", () => addEngine("v2"));

When("an engine of v2 comes, 2 hosts are cut off", () => {
    const key = formatVersionKey({ service: SERVICE, softwareVersion: brandId("v2") });
    cut = new Set(rankByRendezvous(hash, key, hosts).slice(0, 2));
    addEngine("v2");
});

// Half of a surrogate pair made the timer throw, which ended the process.
When("an engine of v2 comes after one of an odd service", () => {
    engines.set(brandId("i-odd"), { entry: { service: brandId("archive-\ud83d"), softwareVersion: "v1" } });
    addEngine("v2");
});

When("an engine of v2 comes after one of a long service", () => {
    engines.set(brandId("i-long"), { entry: { service: brandId("s".repeat(250)), softwareVersion: "v1" } });
    addEngine("v2");
});

When("one engine leaves", () => void engines.delete(brandId("i-0")));

When(/^the engines of (v\d+) leave( with a restart)?$/, async (version: string, restart: string | null) => {
    [...engines].filter(([, { entry }]) => entry.softwareVersion === version).forEach(([id]) => engines.delete(id));
    if (restart !== null) {
        await advance(20_000);
        tasks.splice(0).forEach(task => task.stop());
        startAll();
    }
});

When("{int} ms pass on the record", advance);

Then("the store has {string} on record after at most {int} writes", (expected: string, most: number) => {
    const recorded = store.listKeys(PREFIX).map(key => {
        const parsed = parseHostKey(key);
        return parsed.kind === "version" ? String(parsed.version.softwareVersion) : "";
    });
    deepStrictEqual(recorded.sort(), expected.split(" "));
    ok(writes <= most, `${writes} writes`);
});

function addEngine(softwareVersion: string): void {
    engines.set(brandId(`i-${engines.size}`), { entry: { service: SERVICE, softwareVersion } });
}

function startAll(): void {
    for (const host of hosts) {
        const log = { write: () => undefined };
        const context = {
            clock,
            hash,
            log,
            deployment: { host },
            store: {
                ...store,
                change(change: Parameters<StoreFake["change"]>[0]) {
                    if (cut.has(host)) {
                        return Promise.reject(new Error("no reply"));
                    }
                    writes += 1;
                    return store.change(change);
                },
            },
        } as unknown as FrontContext;
        const clusterView = {
            engines,
            members: new Map(hosts.map(name => [name, { host: name, isLeaving: false }])),
            get recordedVersions() {
                return new Map(store.listKeys(PREFIX).map(key => [key, { revision: readRevision(key) }]));
            },
            hasReadHostKeys: true,
            readAgeMs: () => 0,
        } as unknown as ClusterView;
        tasks.push(startVersionRecords(context, createStoreHealth(clock, log), clusterView));
    }
}

function readRevision(key: string): number {
    return store.findRevision(key) ?? 0;
}

async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}
