import { splitRevision } from "@fulmarcleat/directory";
import type { KnownEngine, Route, ServingConfig, StoreChange } from "@fulmarcleat/directory";
import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, HostId, ManualClock } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import type { ClusterView } from "../createClusterView.js";
import { createStoreFake } from "../createStoreFake.steps.js";
import type { StoreFake } from "../createStoreFake.steps.js";
import type { FrontContext } from "../frontContext.js";
import { formatOriginRuleKey } from "../hostKeys.js";
import type { Member } from "../hostKeys.js";
import { createStoreHealth } from "../storeHealth.js";
import { decodeOriginRules } from "./originRulesValue.js";
import type { RecordedRules } from "./originRulesValue.js";
import { formatRule, parseServices } from "./parseRule.steps.js";
import { startOriginRules } from "./startOriginRules.js";

const ROUTE_NAME = "answers";
const KEY = formatOriginRuleKey(ROUTE_NAME);
const STEP_MS = 100;
/** Time after which the rules have settled, and former ones are no longer needed, in milliseconds. */
const SETTLED_MS = 70_000;

let clock: ManualClock;
let store: StoreFake;
let engines: Map<EngineId, KnownEngine>;
let members: Map<HostId, Member>;
let routes: readonly Route[] = [];
let isFirstStart = true;
let hosts: readonly HostId[] = [];
let cut: ReadonlySet<HostId> = new Set();
let healths: ReturnType<typeof createStoreHealth>[] = [];
let writes = 0;

async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

function toRoute(text: string): Route {
    return { name: ROUTE_NAME, isResumable: true, targets: parseServices(text) } as unknown as Route;
}

function addEngine(softwareVersion: string): void {
    const entry = { service: "m", softwareVersion };
    engines.set(brandId(`i-${engines.size}`), { entry, isUsable: true } as unknown as KnownEngine);
}

function addMember(host: HostId, followsOriginRules: true | undefined): void {
    members.set(host, { host, isLeaving: false, followsOriginRules } as unknown as Member);
}

/** Reads the rules as a host does that has just listed the store's keys. */
async function readRules(): Promise<ReadonlyMap<string, RecordedRules>> {
    const listed = store.list(KEY);
    clock.advance(STEP_MS);
    const { items } = await listed;
    return new Map(items.map(({ revision, value }) => [
        ROUTE_NAME,
        { revision, rules: decodeOriginRules(value, splitRevision(revision).epoch) },
    ]));
}

async function startAll(): Promise<void> {
    const hash = await createHasher();
    for (const host of hosts) {
        const context = {
            clock,
            hash,
            log: { write: () => undefined },
            deployment: { host, isFirstStart },
            readBounds: () => ({ contactMs: 3000 }),
            store: {
                ...store,
                change(change: StoreChange) {
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
            members,
            hasReadHostKeys: true,
            readAgeMs: () => 0,
            get config() {
                return { routes } as unknown as ServingConfig;
            },
            get originRules() {
                return recorded;
            },
            get storeEpoch() {
                return splitRevision(Math.max(0, ...[...recorded.values()].map(({ revision }) => revision))).epoch;
            },
        } as unknown as ClusterView;
        const health = createStoreHealth(clock, { write: () => undefined } as never);
        healths.push(health);
        startOriginRules(context, health, clusterView);
    }
}

/** The record as all hosts know it. */
let recorded: ReadonlyMap<string, RecordedRules> = new Map();

/** Lets time pass; hosts learn of changes after a step. */
async function run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 2 * STEP_MS) {
        recorded = await readRules();
        await advance(STEP_MS);
    }
}

Given(
    "{int} hosts that record origin rules for the route {string} and the engines {string}",
    (count: number, route: string, versions: string) => {
        clock = createManualClock(0);
        store = createStoreFake(clock);
        engines = new Map();
        members = new Map();
        healths = [];
        recorded = new Map();
        cut = new Set();
        writes = 0;
        routes = [toRoute(route)];
        versions.split(" ").forEach(addEngine);
        hosts = Array.from({ length: count }, (value, number) => brandId<HostId>(`host-${number}`));
        hosts.forEach(host => addMember(host, true));
    },
);

Given(/^it is (the first|a later) start$/, async (start: string) => {
    isFirstStart = start === "the first";
    await startAll();
});

Given("the rules have settled", async () => {
    isFirstStart = true;
    await startAll();
    await run(SETTLED_MS);
    writes = 0;
});

Given("an engine of v2 came {int} s ago", async (seconds: number) => {
    isFirstStart = true;
    await startAll();
    await run(SETTLED_MS);
    addEngine("v2");
    await run(seconds * 1000);
    writes = 0;
});

When("an engine of v2 registers", () => addEngine("v2"));

When("an engine of v2 comes, {int} host is cut off", async (count: number) => {
    cut = new Set(rankByRendezvous(await createHasher(), KEY, hosts).slice(0, count));
    addEngine("v2");
});

When(/^the engines of (v\d)(?: and (v\d))? go(?: for (\d) s)?$/, async (first: string, second: string, s: string) => {
    const gone = [...engines].filter(([, { entry }]) => [first, second].includes(String(entry.softwareVersion)));
    gone.forEach(([id]) => engines.delete(id));
    if (s !== null) {
        await run(Number(s) * 1000);
        gone.forEach(([id, known]) => engines.set(id, known));
    }
});

When("the route leads to {string}", (text: string) => void (routes = [toRoute(text)]));

When("the route is removed", () => void (routes = []));

When("a host of a former version joins", () => addMember(brandId("former"), undefined));

When("the store comes back from a copy", async () => {
    store.copy()();
    recorded = await readRules();
});

When("the store is away for {int} s", async (seconds: number) => {
    healths.forEach(health => [1, 2].forEach(() => health.recordCall(false, "watch")));
    await advance(seconds * 1000);
    healths.forEach(health => health.recordCall(true, "watch"));
});

When("another writer puts an odd value", () => store.put(KEY, Buffer.from('{"epoch":0,"rules":7}')));

When("{int} ms pass for the rules", run);

Then("the rules on record are {string} after at most {int} writes", async (expected: string, most: number) => {
    const rules = (await readRules()).get(ROUTE_NAME)?.rules;
    strictEqual(rules?.map(formatRule).join(" / ") ?? "none", expected);
    ok(writes <= most, `${writes} writes`);
});
