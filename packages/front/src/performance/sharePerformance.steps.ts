import type { EngineEntry, EngineSpec, KnownEngine, Service } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { BaseModel, EngineId, HostId, ManualClock } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { encodeFrame } from "@fulmarcleat/wire";
import type { HostUsageReply, HostUsageReport, PeerAddress, PeerClient } from "@fulmarcleat/wire";
import { decode, encode } from "cbor-x";
import { setImmediate } from "node:timers/promises";
import type { ClusterView } from "../createClusterView.js";
import { createEngineLoadTracker } from "../createEngineLoadTracker.js";
import type { EngineLoadTracker } from "../createEngineLoadTracker.js";
import { createOwnerTask } from "../createOwnerTask.js";
import type { OwnerTask } from "../createOwnerTask.js";
import type { FrontContext } from "../frontContext.js";
import { startAdapterTracker } from "../startAdapterTracker.js";
import type { AdapterTracker } from "../startAdapterTracker.js";
import type { Ownership } from "../startOwnership.js";
import { createLoadTimes } from "./createLoadTimes.js";
import { createPerformanceTracker } from "./createPerformanceTracker.js";

interface Host {
    readonly adapters: AdapterTracker;
    readonly loadTracker: EngineLoadTracker;
}

const ENGINE = brandId<EngineId>("i-1");
const OWNER = brandId<HostId>("owner");
const SERVICE = {
    name: brandId("models"),
    maxConnections: 8,
    engine: { eventTokens: 4 } as EngineSpec,
} as Service;
const ENTRY = {
    id: ENGINE,
    service: SERVICE.name,
    address: "127.0.0.1:1",
    models: [],
    slots: 8,
} as unknown as EngineEntry;
const KNOWN = { entry: ENTRY, leavesAtMs: undefined } as unknown as KnownEngine;
/** Time in which all hosts report, in milliseconds. */
const REPORT_MS = 100;
const OWNER_REPORT = { adapters: [], load: 70, queuedTokens: 51_000, placeWaitMs: 0 };
const USAGE_REPORT: HostUsageReport = {
    engine: brandId("i-0123456789"),
    host: brandId("host-0123"),
    isRelayed: false,
    inFlight: [],
    total: 3,
    queuedTokens: 9000,
    started: [],
};

let clock: ManualClock;
let hosts: Host[] = [];
let owner: Host;
let reports: HostUsageReport[] = [];
let replies: HostUsageReply[] = [];

Given(
    /^(\d+) hosts that send requests through (?:the owner of engine "i-1", which (states|doesn't state) how long work takes|an owner of the previous version)$/,
    async (count: string, states: string | null) => {
        clock = createManualClock(0);
        reports = [];
        replies = [];
        const isPrevious = states === null;
        owner = await createHost(OWNER, () => Promise.reject(new Error("the owner asks nobody")));
        const ask = async (report: HostUsageReport): Promise<HostUsageReply> => {
            const received = decode(encode(report)) as HostUsageReport;
            reports.push(received);
            const { seen, ...former } = received;
            const reply = await owner.adapters.handleUsageReport(isPrevious || seen === undefined ? former : received);
            replies.push(reply);
            return decode(encode(reply)) as HostUsageReply;
        };
        hosts = [];
        for (let host = 0; host < Number(count); host += 1) {
            hosts.push(await createHost(brandId(`host-${host}`), ask));
        }
        const workPercent = states === "doesn't state" ? undefined : 100;
        hosts.forEach(({ loadTracker: { performance } }) =>
            performance.recordLoad(ENTRY, SERVICE, { running: 1, waiting: 0, slots: 8, workPercent })
        );
    },
);

When(
    "each host observes 1 first byte of 20 tokens in a millisecond, and 4 events 44 ms apart",
    () =>
        hosts.slice(0, -1).forEach(({ loadTracker: { performance } }, index) => {
            const tokens = index % 2 === 0 ? 0 : 3000;
            performance.recordSample(ENTRY, { kind: "first_byte", ms: 20 + tokens / 20, tokens });
            Array.from({ length: 4 }, () => performance.recordGap(ENTRY, 44));
        }),
);

When("the hosts report to the owner", async () => {
    for (const { adapters } of hosts) {
        adapters.startRequest(ENGINE, undefined);
    }
    clock.advance(REPORT_MS);
    for (let turn = 0; turn < 10; turn += 1) {
        await setImmediate();
    }
});

Then(
    /^a host that has only reported knows (\d+) to (\d+) tokens in a millisecond and events each (\d+) to (\d+) ms$/,
    (minTokens: string, maxTokens: string, minMs: string, maxMs: string) => {
        const pace = hosts.at(-1)?.loadTracker.describeEngine(KNOWN, 1000).pace;
        const tokens = pace?.promptTokensPerMs ?? 0;
        ok(tokens >= Number(minTokens) && tokens <= Number(maxTokens), String(tokens));
        ok(pace !== undefined && pace.eventMs >= Number(minMs) && pace.eventMs <= Number(maxMs), String(pace?.eventMs));
    },
);

Then("each host has sent one report", () => {
    strictEqual(reports.length, hosts.length);
    strictEqual(new Set(reports.map(({ host }) => host)).size, hosts.length);
});

Then("reports have the fields {string}", (fields: string) => {
    ok(reports.length > 0);
    reports.forEach(report => strictEqual(Object.keys(report).sort().join(","), fields));
});

Then("replies have the fields {string}", (fields: string) => {
    ok(replies.length > 0);
    replies.forEach(reply => strictEqual(Object.keys(reply).sort().join(","), fields));
});

Then("views of the engine have no pace", () => {
    const views = hosts.map(({ loadTracker }) => loadTracker.describeEngine(KNOWN, 1000));
    views.forEach(view => strictEqual("pace" in view, false));
});

Then(
    /^a report with 4 first bytes and 4 events is at most (\d+) bytes longer, and a reply at most (\d+) bytes$/,
    (reportBytes: string, replyBytes: string) => {
        const count = (body: unknown): number => encodeFrame({ t: "reply", id: 1, body }).length;
        const firstBytes = [[51_000, 2_345_678], [8000, 345_678], [300, 45_678], [2000, 91_234]] as const;
        const seen = [firstBytes, [44_123, 44_567, 99_999, 22_222]] as const;
        const longerReport = count({ ...USAGE_REPORT, seen }) - count(USAGE_REPORT);
        const longerReply = count({ ...OWNER_REPORT, pace: [51_234, 60_123, 44_123, 16, 16] }) - count(OWNER_REPORT);
        ok(longerReport <= Number(reportBytes), String(longerReport));
        ok(longerReply <= Number(replyBytes), String(longerReply));
    },
);

async function createHost(host: HostId, ask: (report: HostUsageReport) => Promise<HostUsageReply>): Promise<Host> {
    const context = {
        clock,
        log: { write: () => undefined },
        deployment: { host },
        metrics: createMetrics(),
        hash: await createHasher(),
    } as unknown as FrontContext;
    const task: OwnerTask | undefined = host === OWNER
        ? createOwnerTask(context, {
            entry: ENTRY,
            model: brandId<BaseModel>("base"),
            slots: 8,
            fence: 1,
            mayOrder: () => false,
            loadTimes: createLoadTimes(clock, 255),
            onFenced: () => undefined,
        })
        : undefined;
    const clusterView = {
        config: { services: new Map([[SERVICE.name, SERVICE]]) },
        engines: new Map([[ENGINE, { entry: ENTRY }]]),
        members: new Map([[OWNER, { host: OWNER, ip: "127.0.0.1", port: 1 }]]),
        claims: { current: new Map([[ENGINE, { host: OWNER, isReleased: false, revision: 7 }]]) },
        onLoadRequests: () => undefined,
        onEngineRemoved: () => undefined,
    } as unknown as ClusterView;
    const outbox = { isUnreachable: () => false, markUnreachable: () => undefined, enqueue: () => undefined };
    const loadTracker = createEngineLoadTracker(clock, createPerformanceTracker(context));
    const ownership = { find: () => task, isFenced: () => false, findHolder: () => undefined } as unknown as Ownership;
    const peers = { request: (to: PeerAddress, name: string, report: HostUsageReport) => ask(report) };
    const adapters = startAdapterTracker(
        context,
        clusterView,
        ownership,
        loadTracker,
        outbox,
        () => peers as unknown as PeerClient,
    );
    return { adapters, loadTracker };
}
