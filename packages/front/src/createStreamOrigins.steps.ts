import type { EngineEntry, KnownEngine, Service } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, ManualClock, RequestId, ServiceName } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { PeerClient, StreamOriginRequest, StreamRecord } from "@fulmarcleat/wire";
import { createStreamOrigins } from "./createStreamOrigins.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import type { FrontContext } from "./frontContext.js";
import { formatVersionKey } from "./hostKeys.js";
import type { Member, RecordedVersion } from "./hostKeys.js";
import { RESUMABLE_MS } from "./resumableTime.js";

const STREAM = brandId<RequestId>("r1");
const SERVICE = { name: brandId<ServiceName>("models") } as Service;

let clock: ManualClock;
let members: Map<HostId, Member>;
let engines: Map<EngineId, KnownEngine>;
let hosts: Map<HostId, StreamOrigins>;
let removalListeners: ((entry: EngineEntry) => void)[];
/** The store's record, which outlives all hosts. */
let recordedVersions: Map<string, RecordedVersion>;
let isFirstStart = true;
let told: HostId[] = [];
let versions: readonly (string | undefined)[] = [];

const toHost = (number: number | string): HostId => brandId<HostId>(`host-${number}`);

/** Sends a request to another host of the test; a killed one refuses the connection. */
const peers = {
    request(to: { readonly host: HostId }, name: string, body: unknown) {
        const host = hosts.get(to.host);
        if (host === undefined) {
            return Promise.reject(new Error("connection refused"));
        }
        if (name === "streamStart") {
            told.push(to.host);
            host.keep(body as StreamRecord);
            return Promise.resolve({ done: true });
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
    const ownEngines = outOfStep === undefined ? engines : new Map([...engines].slice(0, 1));
    const confirmEngines = (): Promise<boolean> => {
        engines.forEach((known, id) => outOfStep?.isCutFromStore !== true && ownEngines.set(id, known));
        return Promise.resolve(outOfStep?.isCutFromStore !== true);
    };
    const ownPeers = outOfStep?.isCutFromHosts === true
        ? { request: () => Promise.reject(new Error("no reply")) } as unknown as PeerClient
        : peers;
    members.set(host, { host, incarnation: brandId<Incarnation>("1"), ip: "127.0.0.1", port: 1, isLeaving: false });
    const context = { clock, deployment: { host, isFirstStart }, hash: await createHasher(), metrics: createMetrics() };
    const clusterView = {
        engines: ownEngines,
        members,
        recordedVersions: outOfStep === undefined ? recordedVersions : new Map([...recordedVersions].slice(0, 1)),
        confirmEngines,
        onEngineRemoved: (listener: (entry: EngineEntry) => void) => void removalListeners.push(listener),
    };
    hosts.set(host, createStreamOrigins(context as unknown as FrontContext, clusterView, () => ownPeers));
}

function killHost(number: string): void {
    members.delete(toHost(number));
    hosts.delete(toHost(number));
}

Given("{int} hosts and engines of the versions {string}", async (count: number, text: string) => {
    clock = createManualClock(0);
    told = [];
    members = new Map();
    hosts = new Map();
    removalListeners = [];
    engines = new Map(
        text.split(" ").map((version, at) => {
            const id = brandId<EngineId>(`i-${at}`);
            return [id, { entry: { id, service: SERVICE.name, softwareVersion: version } } as unknown as KnownEngine];
        }),
    );
    isFirstStart = true;
    recordedVersions = new Map(
        [...engines.values()].map(({ entry }) => [formatVersionKey(entry), { ...entry, revision: 1 }]),
    );
    for (let number = 0; number < count; number += 1) {
        await startHost(number);
    }
});

Given("the versions were never recorded", () => recordedVersions.clear());

Given("all hosts lose power and run for {int} s", async (seconds: number) => {
    const numbers = [...hosts.keys()].map(host => Number(host.slice("host-".length)));
    removalListeners = [];
    isFirstStart = false;
    hosts.clear();
    for (const number of numbers) {
        await startHost(number);
    }
    clock.advance(seconds * 1000);
});

Given("no host has a record of the stream", () => undefined);

Given(/^the stream began at version (\w+) at host (\d+)$/, (version: string, host: string) => {
    hosts.get(toHost(host))?.record({
        requestId: STREAM,
        service: SERVICE.name,
        softwareVersion: brandId(version),
    });
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
    versions = await Promise.all(asked.map(async ([, host]) => (await host.find(STREAM, SERVICE))?.softwareVersion));
});

When("{int} streams begin at host 0", (count: number) => {
    for (let stream = 0; stream < count; stream += 1) {
        const requestId = brandId<RequestId>(`r${stream}`);
        hosts.get(toHost(0))?.record({ requestId, service: SERVICE.name, softwareVersion: undefined });
    }
    strictEqual(told.length, 2 * count);
});

Then("their records were sent to at most {int} hosts, two each", (most: number) => {
    ok(new Set(told).size <= most, `${new Set(told).size} hosts`);
});

When("the client resumes a stream without naming its first request", async () => {
    versions = [(await hosts.get(toHost(0))?.find(undefined, SERVICE))?.softwareVersion];
});

Then("the stream began at {string}", (expected: string) => {
    deepStrictEqual([...new Set(versions)], [expected === "unknown" ? undefined : expected]);
});
