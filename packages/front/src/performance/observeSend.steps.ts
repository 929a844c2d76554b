import type { AnswerSink, EngineRequest, KnownEngine, Service } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, ManualClock, RequestId } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ClientRequest } from "../clientRequest.js";
import type { ClusterView } from "../createClusterView.js";
import type { EngineClosures } from "../createEngineClosures.js";
import type { EngineLimits, SendPermit } from "../createEngineLimits.js";
import { createEngineLoadTracker } from "../createEngineLoadTracker.js";
import type { EngineLoadTracker } from "../createEngineLoadTracker.js";
import { createEngineSender } from "../createEngineSender.js";
import type { Quarantine } from "../createQuarantine.js";
import type { EnginePaths } from "../enginePaths.js";
import type { FrontContext } from "../frontContext.js";
import type { AdapterTracker } from "../startAdapterTracker.js";
import { createPerformanceTracker } from "./createPerformanceTracker.js";

const ENGINE = brandId<EngineId>("i-1");
const REQUEST_ID = brandId<RequestId>("r1");
const SERVICE = { name: brandId("models"), maxConnections: 8, engine: { eventTokens: 4 } } as Service;
const ENTRY = {
    id: ENGINE,
    service: SERVICE.name,
    address: "127.0.0.1:1",
    slots: 8,
} as unknown as KnownEngine["entry"];
const LOAD = { running: 1, waiting: 0, slots: 8 };

let clock: ManualClock;
let loadTracker: EngineLoadTracker;
let workPercent: number | undefined;
let engine: AnswerSink | undefined;

Given(/^a sender to engine "i-1", which (states how long work takes|doesn't state it)$/, (states: string) => {
    clock = createManualClock(0);
    workPercent = states === "doesn't state it" ? undefined : 100;
    const context = { clock, metrics: createMetrics(), log: { write: () => undefined } };
    loadTracker = createEngineLoadTracker(clock, createPerformanceTracker(context));
    loadTracker.performance.recordLoad(ENTRY, SERVICE, { ...LOAD, workPercent });
});

When(
    /^a stream with a prompt of (\d+) tokens is sent behind (\d+) tokens of this host, while the owner counts (\d+)$/,
    (prompt: string, own: string, all: string) => {
        loadTracker.addQueuedTokens(ENGINE, Number(own));
        const nothing = (): undefined => undefined;
        const transport = {
            send(req: EngineRequest, sink: AnswerSink) {
                engine = sink;
                return { cancel: nothing, resume: nothing };
            },
        };
        const sender = createEngineSender(
            { clock, transport, log: { write: nothing } } as unknown as FrontContext,
            { readAgeMs: () => 0 } as unknown as ClusterView,
            loadTracker,
            {
                startRequest: nothing,
                finishRequest: nothing,
                countQueuedTokens: () => Number(all),
            } as unknown as AdapterTracker,
            { recordAnswer: nothing, recordBreak: nothing } as unknown as Quarantine,
            { recordSend: nothing, recordAnswer: nothing } as unknown as EngineLimits,
            {
                isPathLost: () => false,
                recordBytes: nothing,
                recordEnd: nothing,
                recordSend: nothing,
            } as unknown as EnginePaths,
            { recordEnd: nothing, recordNotice: nothing, recordSend: nothing } as unknown as EngineClosures,
        );
        const request = {
            req: { method: "POST", url: "/" },
            requestId: REQUEST_ID,
            head: { forwarded: [], tokens: { prompt: Number(prompt), output: 100 } },
            route: { kind: "streaming", isResumable: false, priority: 0, goalMs: 1000 },
            service: SERVICE,
            body: Buffer.alloc(0),
            deadlineAtMs: 5000,
            signal: new AbortController().signal,
            times: {},
        } as unknown as ClientRequest;
        const target = { kind: "engine", known: { entry: ENTRY } as KnownEngine, permit: {} as SendPermit } as const;
        sender.send(request, target, { onSilent: nothing, onAccept: nothing, onBytes: nothing }, nothing);
    },
);

When(/^its first byte comes after (\d+) ms$/, (ms: string) => {
    clock.advance(Number(ms));
    engine?.head({
        status: 200,
        framing: "chunks",
        headers: [],
        requestId: REQUEST_ID,
        isNotRun: false,
        load: { ...LOAD, workPercent },
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    });
    engine?.piece(Buffer.from("id: 1\n\n"));
});

Then(/^(.*) is to be reported of the engine$/, (seen: string) => {
    strictEqual(JSON.stringify(loadTracker.performance.takeSeen(ENGINE)) ?? "nothing", seen);
});
