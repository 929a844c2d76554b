import type { EngineEntry } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, EngineId, HostId, Incarnation, ManualClock, ServiceName } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { AdapterLoadRequest, HostUsageReply, HostUsageReport, PeerAddress, PeerClient } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import type { ClusterView } from "./createClusterView.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import type { LoadRequestOutbox } from "./createLoadRequestOutbox.js";
import type { FrontContext } from "./frontContext.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import { startAdapterTracker } from "./startAdapterTracker.js";
import type { AdapterTracker } from "./startAdapterTracker.js";
import type { Ownership } from "./startOwnership.js";

const ENGINE = brandId<EngineId>("i-1");
const INCARNATION = brandId<Incarnation>("1");
const LOAD_REQUEST: AdapterLoadRequest = {
    engine: ENGINE,
    model: brandId<BaseModel>("base"),
    adapter: brandId<AdapterName>("a1"),
    version: undefined,
    dueInMs: 500,
    waitMs: 300,
    isMissing: false,
    isRelayed: false,
};

let tracker: AdapterTracker;
let sent: { readonly to: string; readonly isRelayed: boolean }[] = [];
let replyKind = "";

Given(
    /^an adapter tracker on host "(\w+)" that knows "(\w*)" as the owner of "i-1" and (.*)$/,
    async (self: string, owner: string, state: string) => {
        sent = [];
        await createTracker({
            self,
            engines: [],
            owners: new Map(owner === "" ? [] : [[ENGINE, owner]]),
            isFenced: state === "has been fenced",
            isReachable: state !== "does not reach it",
            reply(to, loadRequest) {
                sent.push({ to: to.host, isRelayed: (loadRequest as AdapterLoadRequest).isRelayed });
                return Promise.resolve({ kind: "ready", inMs: 250 });
            },
        });
    },
);

When(
    /^the tracker receives a load request from (its own host|a peer|a peer that relays it)$/,
    async (sender: string) => {
        const entry = { id: ENGINE } as EngineEntry;
        const { model, adapter, version } = LOAD_REQUEST;
        const reply = sender === "its own host"
            ? await tracker.requestLoad(entry, { model, adapter, version }, { waitMs: 300, dueInMs: 500 }, false)
            : await tracker.handleLoadRequest({ ...LOAD_REQUEST, isRelayed: sender === "a peer that relays it" });
        replyKind = reply.kind;
    },
);

Then(
    /^the load request went to "(\w*)" (directly|relayed) and the reply is "(\w+)"$/,
    (to: string, how: string, kind: string) => {
        strictEqual(sent[0]?.to ?? "", to);
        strictEqual(sent[0]?.isRelayed ?? false, how === "relayed");
        strictEqual(replyKind, kind);
    },
);

Then(
    /^an absent adapter of (an engine|an engine without its model) has an expected wait of (\d+) ms for a slot, and loads (can|can't) be requested$/,
    (kind: string, placeWaitMs: string, can: string) => {
        const { model, adapter, version } = LOAD_REQUEST;
        const models = kind === "an engine" ? [{ model, version: undefined, adapters: [] }] : [];
        const presence = tracker.find({ id: ENGINE, models } as unknown as EngineEntry, {
            model,
            adapter,
            version,
        });
        deepStrictEqual(presence, { kind: "absent", placeWaitMs: Number(placeWaitMs), canLoad: can === "can" });
    },
);

let clock: ManualClock;
let reportsByEngine = new Map<EngineId, number>();
let isUnresponsive = false;
let hasUpdates = false;

Given(
    "an adapter tracker on host {string} with {int} engines owned by {string}",
    async (self: string, count: number, owner: string) => {
        reportsByEngine = new Map();
        isUnresponsive = false;
        const engines = Array.from({ length: count }, (value, index) => brandId<EngineId>(`i-${index}`));
        const ownerReport: HostUsageReply = { kind: "word", adapters: [], load: 0, queuedTokens: 0, placeWaitMs: 0 };
        await createTracker({
            self,
            engines,
            owners: new Map(engines.map(engine => [engine, owner])),
            isFenced: false,
            isReachable: true,
            reply(to, usageReport) {
                const { engine } = usageReport as HostUsageReport;
                reportsByEngine.set(engine, (reportsByEngine.get(engine) ?? 0) + 1);
                return isUnresponsive ? new Promise(() => undefined) : Promise.resolve(ownerReport);
            },
        });
    },
);

When(
    "a request runs on engine {string} of the tracker",
    (id: string) => tracker.startRequest(brandId(id), brandId("a1")),
);

When(
    "the tracker's request on engine {string} ends",
    (id: string) => tracker.finishRequest(brandId(id), brandId("a1")),
);

When("{int} ms pass on the tracker", advanceClock);

When("the tracker's usage reports are counted from zero", () => reportsByEngine.clear());

When("the tracker's owners stop responding", () => void (isUnresponsive = true));

When("the tracker refreshes the reports on {string}", async (ids: string) => {
    const refreshed = tracker.refresh(ids.split(" ").map(id => brandId<EngineId>(id)));
    await advanceClock(STEP_MS);
    hasUpdates = await refreshed;
});

Then(
    "the tracker has sent usage reports for {int} engines",
    (count: number) => strictEqual(reportsByEngine.size, count),
);

Then("the tracker requested new owner reports", () => ok(hasUpdates));

/** Step of the manual clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 50;

async function advanceClock(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

interface TrackerSetup {
    readonly self: string;
    readonly engines: readonly EngineId[];
    readonly owners: ReadonlyMap<EngineId, string>;
    /** Whether each engine has rejected this host's fencing token. */
    readonly isFenced: boolean;
    /** Whether owners can be reached directly. */
    readonly isReachable: boolean;
    readonly reply: (to: PeerAddress, body: unknown) => Promise<unknown>;
}

async function createTracker({ self, engines, owners, isFenced, isReachable, reply }: TrackerSetup): Promise<void> {
    clock = createManualClock(0);
    const service = brandId<ServiceName>("models");
    const context = {
        clock,
        log: { write: () => undefined },
        deployment: { host: brandId<HostId>(self) },
        metrics: createMetrics(),
        hash: await createHasher(),
    };
    const hosts = ["b", "c"].map(name => brandId<HostId>(name));
    const address = { incarnation: INCARNATION, ip: "127.0.0.1", port: 1, isLeaving: false };
    const claim = { incarnation: INCARNATION, isReleased: false, revision: 7 };
    const clusterView = {
        config: { services: new Map([[service, { name: service, engine: {} }]]) },
        engines: new Map(engines.map(id => [id, { entry: { id, service, models: [] } }])),
        members: new Map(hosts.map(host => [host, { host, ...address }])),
        claims: {
            current: new Map(
                [...owners].map(([engine, owner]) => [engine, { host: brandId<HostId>(owner), ...claim }]),
            ),
        },
        onLoadRequests: () => undefined,
        onEngineRemoved: () => undefined,
    };
    const outbox: LoadRequestOutbox = {
        isUnreachable: () => !isReachable,
        markUnreachable: () => undefined,
        enqueue: loadRequest => void sent.push({ to: "store", isRelayed: loadRequest.isRelayed }),
    };
    const peers = { request: (to: PeerAddress, name: string, body: unknown) => reply(to, body) };
    tracker = startAdapterTracker(
        context as unknown as FrontContext,
        clusterView as unknown as ClusterView,
        { find: () => undefined, isFenced: () => isFenced, findHolder: () => undefined } as unknown as Ownership,
        createEngineLoadTracker(clock, createPerformanceTracker(context as unknown as FrontContext)),
        outbox,
        () => peers as unknown as PeerClient,
    );
}
