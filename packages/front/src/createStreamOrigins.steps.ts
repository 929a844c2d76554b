import type { EngineEntry, KnownEngine, Service, StoreChange } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type {
    EngineId,
    HostId,
    Incarnation,
    ManualClock,
    RequestId,
    ServiceName,
    SoftwareVersion,
} from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { PeerClient, StreamOriginRequest, StreamRecord } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import { createOriginStore, ORIGIN_PREFIX } from "./createOriginStore.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import { createStreamOrigins } from "./createStreamOrigins.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import type { FrontContext } from "./frontContext.js";
import { formatVersionKey } from "./hostKeys.js";
import type { Member, RecordedVersion } from "./hostKeys.js";
import type { OriginRoute } from "./origins/createRuleBook.js";
import type { RecordedRules } from "./origins/originRulesValue.js";
import { RESUMABLE_MS } from "./resumableTime.js";

const STREAM = brandId<RequestId>("r1");
const SERVICE = { name: brandId<ServiceName>("models") } as Service;
const ROUTE: OriginRoute = { name: "answers", targets: [{ service: SERVICE.name, weight: 1 }] };

let clock: ManualClock;
let members: Map<HostId, Member>;
let engines: Map<EngineId, KnownEngine>;
let hosts: Map<HostId, StreamOrigins>;
let removalListeners: ((entry: EngineEntry) => void)[];
/** The store's record, which outlives all hosts. */
let recordedVersions: Map<string, RecordedVersion>;
let isFirstStart = true;
let told: HostId[] = [];
/** The store, which outlives all hosts too. */
let store: StoreFake;
let writtenBytes: number[] = [];
let began: RequestId[] = [];
let arePeersCut = false;
/** Step of the clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 20;
/** Time in which a client's question is answered, in milliseconds. */
const FIND_MS = 1200;
let incarnations = 0;
/** Number of losses of power so far; a host of before one sends nothing more. */
let powerLosses = 0;
/** Time for which first events were held, in milliseconds. */
let heldMs = 0;
/** Whether the store counts as available. */
const health = { isAvailable: true };
let versions: readonly (string | undefined)[] = [];
let route = ROUTE;
/** Origin rules that the store has on record. */
let originRules: Map<string, RecordedRules>;

const toHost = (number: number | string): HostId => brandId<HostId>(`host-${number}`);

/** Sends a request to another host of the test; a killed one refuses the connection. */
const peers = {
    request(to: { readonly host: HostId }, name: string, body: unknown) {
        const host = hosts.get(to.host);
        if (host === undefined || arePeersCut) {
            return Promise.reject(new Error("connection refused"));
        }
        if (name === "streamStart") {
            told.push(to.host);
            return host.keep(body as StreamRecord).then(isStored =>
                isStored ? { done: true } : Promise.reject(new Error("the store has not taken the record"))
            );
        }
        return Promise.resolve(host.answer((body as StreamOriginRequest).requestId));
    },
} as unknown as PeerClient;

/** What a host is cut off from that hasn't seen the newest version come. */
interface OutOfStep {
    readonly isCutFromHosts: boolean;
    readonly isCutFromStore: boolean;
}

async function startHost(number: number, outOfStep?: OutOfStep): Promise<void> {
    const host = toHost(number);
    const ownLosses = powerLosses;
    const ownEngines = outOfStep === undefined ? engines : new Map([...engines].slice(0, 1));
    const confirmEngines = (): Promise<boolean> => {
        engines.forEach((known, id) => outOfStep?.isCutFromStore !== true && ownEngines.set(id, known));
        return Promise.resolve(outOfStep?.isCutFromStore !== true);
    };
    const ownPeers = outOfStep?.isCutFromHosts === true
        ? { request: () => Promise.reject(new Error("no reply")) } as unknown as PeerClient
        : peers;
    members.set(host, { host, incarnation: brandId<Incarnation>("1"), ip: "127.0.0.1", port: 1, isLeaving: false });
    const context = {
        clock,
        deployment: { host, isFirstStart },
        incarnation: brandId<Incarnation>(String(incarnations += 1)),
        hash: await createHasher(),
        metrics: createMetrics(),
        readBounds: () => ({ eventPassMs: 120 }),
        log: { write: () => undefined },
        store: {
            ...store,
            list: (prefix: string) =>
                outOfStep?.isCutFromStore === true ? Promise.reject(new Error("no reply")) : store.list(prefix),
            openLease(ttlMs: number) {
                writtenBytes.push(0);
                return store.openLease(ttlMs);
            },
            change(change: StoreChange) {
                if (ownLosses !== powerLosses) {
                    return new Promise(() => undefined);
                }
                writtenBytes.push(...change.puts.map(put => put.value.length));
                return store.change(change);
            },
        },
    } as unknown as FrontContext;
    const clusterView = {
        engines: ownEngines,
        members,
        originRules,
        recordedVersions: outOfStep === undefined ? recordedVersions : new Map([...recordedVersions].slice(0, 1)),
        confirmEngines,
        onEngineRemoved: (listener: (entry: EngineEntry) => void) => void removalListeners.push(listener),
    };
    hosts.set(
        host,
        createStreamOrigins(
            context,
            health,
            clusterView,
            () => ownPeers,
            readIntervalMs => createOriginStore(context, readIntervalMs),
        ),
    );
}

function killHost(number: string): void {
    members.delete(toHost(number));
    hosts.delete(toHost(number));
}

Given("{int} hosts and engines of the versions {string}", async (count: number, text: string) => {
    clock = createManualClock(0);
    store = createStoreFake(clock);
    writtenBytes = [];
    began = [];
    arePeersCut = false;
    told = [];
    members = new Map();
    hosts = new Map();
    removalListeners = [];
    engines = new Map(
        text.split(" ").map((version, at) => {
            const id = brandId<EngineId>(`i-${at}`);
            return [
                id,
                {
                    entry: { id, service: SERVICE.name, softwareVersion: version },
                    isUsable: true,
                } as unknown as KnownEngine,
            ];
        }),
    );
    isFirstStart = true;
    route = ROUTE;
    health.isAvailable = true;
    originRules = new Map();
    recordedVersions = new Map(
        [...engines.values()].map(({ entry }) => [formatVersionKey(entry), { ...entry, revision: 1 }]),
    );
    for (let number = 0; number < count; number += 1) {
        await startHost(number);
    }
});

/** Lets time pass, with the replies of hosts and store. */
async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

Given("1 s passes", () => advance(1000));

/** Lets streams of the same moment begin at many hosts, as records of others must not delay one for long. */
function startOthers(perHost: number): void {
    hosts.forEach((host, name) => {
        for (let stream = 0; stream < perHost; stream += 1) {
            const requestId = brandId<RequestId>(`${name}-${stream}`);
            void host.record({ requestId, service: SERVICE.name, softwareVersion: brandId("v2") }, {
                route,
                mayBeginAnew: true,
            });
        }
    });
}

Given(
    /^the first event of a stream of version (\w+) has reached its client from host (\d+)(.*)$/,
    async (version: string, host: string, trouble: string) => {
        startOthers(4);
        const copy = store.copy();
        const events = hosts.get(toHost(host))?.record({
            requestId: STREAM,
            service: SERVICE.name,
            softwareVersion: brandId(version),
        }, { route, mayBeginAnew: true });
        let hasReached = events === undefined;
        void events?.then(() => {
            hasReached = true;
        });
        const modes = { ", the store away": "silent", ", the store rejecting": "rejecting" } as const;
        const mode = Object.entries(modes).find(([text]) => text === trouble)?.[1];
        store.setMode(mode ?? "serving");
        if (trouble === ", a writer gone") {
            told.filter(name => name !== toHost(0)).forEach(name => killHost(name.slice("host-".length)));
        }
        // A process that is behind runs none of its timers meanwhile.
        clock.advance(trouble === ", the hosts behind" ? 400 : 0);
        for (heldMs = 0; !hasReached && heldMs < 2000; heldMs += STEP_MS) {
            await advance(STEP_MS);
        }
        ok(hasReached, "the event is still held");
        if (trouble === ", the store turned back") {
            copy();
        }
        store.setMode("serving");
    },
);

Given("all hosts lose power {int} ms later", async (laterMs: number) => {
    await advance(laterMs);
    await losePower();
});

Then("the event was held for at most {int} ms", (mostMs: number) => ok(heldMs <= mostMs, `held for ${heldMs} ms`));

When("{int} streams begin while the store is away", async (count: number) => {
    store.setMode("silent");
    heldMs = 0;
    for (let stream = 0; stream < count; stream += 1) {
        const requestId = brandId<RequestId>(`away-${stream}`);
        const startedMs = clock.nowMs();
        const held = hosts.get(toHost(0))?.record(
            { requestId, service: SERVICE.name, softwareVersion: undefined },
            { route, mayBeginAnew: true },
        );
        void held?.then(() => {
            heldMs += clock.nowMs() - startedMs;
        });
        await advance(1000);
    }
});

Given("1 s passes with the store away, and 2 s", async () => {
    store.setMode("silent");
    await advance(1000);
    store.setMode("serving");
    await advance(2000);
});

Given("1 s passes, and the store goes away", async () => {
    await advance(1000);
    store.setMode("silent");
});

Given("1 s passes beside odd records", async () => {
    store.put(`${ORIGIN_PREFIX}odd`, Buffer.from("[[[["));
    store.put(`${ORIGIN_PREFIX}odd-2`, Buffer.from(JSON.stringify({ groups: [{ service: "\ud83d", ids: [7] }] })));
    await advance(1000);
});

Given("an engine of v2 comes {int} s before", async (seconds: number) => {
    await advance(2000);
    const id = brandId<EngineId>("i-new");
    const entry = { id, service: SERVICE.name, softwareVersion: "v2" } as unknown as EngineEntry;
    engines.set(id, { entry, isUsable: true } as unknown as KnownEngine);
    recordedVersions.set(formatVersionKey(entry), { ...entry, revision: 2 });
    await advance(seconds * 1000);
});

When("{int} streams begin a second for {int} s", async (perSecond: number, seconds: number) => {
    for (let stream = 0; stream < perSecond * seconds; stream += 1) {
        const requestId = brandId<RequestId>(`${stream}`.padStart(16, "0"));
        const softwareVersion = brandId<SoftwareVersion>(stream % 2 === 0 ? "v1" : "v2");
        began.push(requestId);
        void hosts.get(toHost(stream % hosts.size))?.record(
            { requestId, service: SERVICE.name, softwareVersion },
            { route, mayBeginAnew: true },
        );
        if (stream % 4 === 3) {
            await advance(4 * 1000 / perSecond);
        }
    }
});

Then("the hosts have made at most {int} calls to the store, {int} bytes each", (calls: number, bytes: number) => {
    ok(writtenBytes.length <= calls, `${writtenBytes.length} calls`);
    ok(Math.max(0, ...writtenBytes) <= bytes, `${Math.max(0, ...writtenBytes)} bytes`);
});

Then(
    "after a loss of power at least {int} of the last {int} streams are known",
    async (least: number, count: number) => {
        await losePower();
        const host = hosts.get(toHost(0));
        const found = Promise.all(began.slice(-count).map(async id => await host?.find(id, route) !== undefined));
        await advance(FIND_MS);
        const known = (await found).filter(Boolean).length;
        ok(least === 0 || known >= least, `${known} are known`);
    },
);

async function losePower(): Promise<void> {
    const numbers = [...hosts.keys()].map(host => Number(host.slice("host-".length)));
    hosts.forEach(host => host.stop());
    powerLosses += 1;
    removalListeners = [];
    isFirstStart = false;
    hosts.clear();
    for (const number of numbers) {
        await startHost(number);
    }
}

Given("the versions were never recorded", () => recordedVersions.clear());

Given("all hosts lose power and run for {int} s", async (seconds: number) => {
    await losePower();
    await advance(seconds * 1000);
});

Given("no host has a record of the stream", () => undefined);

Given("hosts don't reach each other", () => void (arePeersCut = true));

Given(/^the stream began at version (\w+) at host (\d+)$/, (version: string, host: string) => {
    void hosts.get(toHost(host))?.record({
        requestId: STREAM,
        service: SERVICE.name,
        softwareVersion: brandId(version),
    }, { route, mayBeginAnew: true });
});

Given("nothing happens", () => undefined);

Given(/^hosts? ([\d, and]+?) (?:is|are) killed(?: and (\d+) joins)?$/, async (text: string, joining: string | null) => {
    [...text.matchAll(/\d+/g)].forEach(([number]) => killHost(number));
    if (joining !== null) {
        await startHost(Number(joining));
    }
});

Given(/^the engine of (\w+) leaves (\d+) s before$/, (version: string, seconds: string) => {
    for (const [id, { entry }] of engines) {
        if (entry.softwareVersion === version) {
            engines.delete(id);
            removalListeners.forEach(listener => listener(entry));
        }
    }
    clock.advance(Number(seconds) * 1000);
    if (Number(seconds) * 1000 >= RESUMABLE_MS) {
        recordedVersions.delete(formatVersionKey({ service: SERVICE.name, softwareVersion: brandId(version) }));
    }
});

Given(/^host (\d+) (.*) since before the version v2 came$/, (host: string, state: string) =>
    startHost(Number(host), {
        isCutFromHosts: state.includes("the other hosts"),
        isCutFromStore: state.includes("the store"),
    }));

Given(/^(\d+) s pass$/, (seconds: string) => clock.advance(Number(seconds) * 1000));

When(/^the client resumes the stream at (host \d+|every other host)$/, async (where: string) => {
    const asked = [...hosts].filter(([host]) =>
        where === "every other host" ? host !== toHost(0) : host === toHost(where.slice("host ".length))
    );
    const found = Promise.all(asked.map(async ([, host]) => (await host.find(STREAM, route))?.softwareVersion));
    await advance(FIND_MS);
    versions = await found;
});

When("{int} streams begin at host 0", (count: number) => {
    for (let stream = 0; stream < count; stream += 1) {
        const requestId = brandId<RequestId>(`r${stream}`);
        void hosts.get(toHost(0))?.record({ requestId, service: SERVICE.name, softwareVersion: undefined }, {
            route,
            mayBeginAnew: true,
        });
    }
    strictEqual(told.length, 2 * count);
});

Then("their records were sent to at most {int} hosts, two each", (most: number) => {
    ok(new Set(told).size <= most, `${new Set(told).size} hosts`);
});

When("the client resumes a stream without naming its first request", async () => {
    versions = [(await hosts.get(toHost(0))?.find(undefined, route))?.softwareVersion];
});

Then("the stream began at {string}", (expected: string) => {
    deepStrictEqual([...new Set(versions)], [expected === "unknown" ? undefined : expected]);
});

/** The hosts, engines and store of these scenarios, for steps of other files. */
export const originFleet = {
    advance,
    losePower,
    get clock() {
        return clock;
    },
    get store() {
        return store;
    },
    get hosts() {
        return hosts;
    },
    /** Sets whether the store counts as available at all hosts. */
    setStoreAvailable: (isAvailable: boolean) => void (health.isAvailable = isAvailable),
    /** Changes where the route leads. */
    setRoute: (next: OriginRoute) => void (route = next),
    /** Adds an engine, and its software version to the record. */
    addEngine(service: ServiceName, softwareVersion: SoftwareVersion) {
        const id = brandId<EngineId>(`i-${engines.size}`);
        const entry = { id, service, softwareVersion } as unknown as EngineEntry;
        engines.set(id, { entry, isUsable: true } as unknown as KnownEngine);
        recordedVersions.set(formatVersionKey(entry), { ...entry, revision: 1 });
    },
    /** Origin rules that the store has on record. */
    get originRules() {
        return originRules;
    },
};
