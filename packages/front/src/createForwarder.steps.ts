import type {
    AnswerSink,
    EngineAnswerHead,
    EngineExchange,
    EngineRequest,
    KnownEngine,
    Route,
} from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type {
    EngineId,
    FailureDomain,
    HostId,
    Incarnation,
    ManualClock,
    RequestId,
    ServiceName,
} from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import { createForwarder } from "./createForwarder.js";
import type { Quarantine } from "./createQuarantine.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import { NO_LOST_PATHS } from "./enginePaths.js";
import type { ForwardMark } from "./forwardMark.js";
import { SENDS_HEADER } from "./forwardMark.js";
import type { FrontContext } from "./frontContext.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import { createRequestRunner } from "./runRequest.js";
import type { RequestRunner } from "./runRequest.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

const SERVICE = brandId<ServiceName>("plain");
const STEP_MS = 10;
const MAX_RUN_MS = 2000;
const DEADLINE_MS = 10_000;
const NO_EXCHANGE: EngineExchange = { cancel: () => undefined, resume: () => undefined };
const QUARANTINE = { find: () => undefined, findAtSend: () => undefined, recordAnswer: () => undefined };
const ADAPTERS = { startRequest: () => undefined, finishRequest: () => undefined };

let retries = 0;
let clock: ManualClock;
let marks: ForwardMark[] = [];
let directSends = 0;
/** Number of the first sends to engines that these reject. */
let rejected = 0;
let ratio = 0;
let end: RequestEnd | undefined;

Given("a host that reaches no engine, and a retry budget of {int} sends", (count: number) => {
    retries = count;
    clock = createManualClock(0);
    marks = [];
    directSends = 0;
    rejected = 0;
    ratio = 0;
    end = undefined;
});

When(
    /^the hosts that a request is handed to refuse it, (.*), and this host reaches engines (not at all|after that)$/,
    async (refusals: string, again: string) => {
        const stated = (refusals.match(/unseen|\d+/g) ?? []).map(text => text === "unseen" ? undefined : text);
        await run(stated, again === "after that");
    },
);

When(
    "the host that a stream with a goal of {int} ms is handed to is silent for {int} ms",
    async (goalMs: number, silentMs: number) => {
        const runner = await createRunner(() => false, () => NO_EXCHANGE);
        void runner.run({
            ...createRequest(),
            route: { kind: "streaming", isResumable: true, maxEngines: 2, goalMs } as unknown as Route,
        });
        await advance(silentMs);
    },
);

Then("the stream has been handed to {int} hosts", (count: number) => {
    strictEqual(marks.length, count);
});

Then("the hosts are told of {string} sends", (told: string) => {
    strictEqual(marks.map(({ sends }) => sends).join(" "), told);
});

Then("the request ends as {string} after {int} sends by this host", (expected: string, sends: number) => {
    ok(end !== undefined);
    strictEqual(end.kind === "gave_up" ? `gave_up ${end.outcome} ${end.reason}` : end.kind, expected);
    strictEqual(directSends, sends);
});

function createHead(req: EngineRequest, isNotRun: boolean, headers: readonly string[]): EngineAnswerHead {
    return {
        status: isNotRun ? 503 : 200,
        framing: "length",
        headers,
        requestId: req.requestId,
        isNotRun,
        load: undefined,
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    };
}

/** Sends an answer's head and end. */
function answer(sink: AnswerSink, head: EngineAnswerHead): EngineExchange {
    queueMicrotask(() => {
        sink.head(head);
        sink.end();
    });
    return NO_EXCHANGE;
}

async function advance(lengthMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < lengthMs && end === undefined; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

/** Runs one request; the hosts that it is handed to state so many sends as they refuse it. */
async function run(stated: readonly (string | undefined)[], isBack: boolean): Promise<void> {
    const runner = await createRunner(
        () => isBack && marks.length >= stated.length,
        (req, sink) => {
            const sends = stated[marks.length - 1];
            return answer(sink, createHead(req, true, sends === undefined ? [] : [SENDS_HEADER, sends]));
        },
    );
    void runner.run(createRequest()).then(ended => void (end = ended));
    await advance(MAX_RUN_MS);
}

/** Creates the runner of a host that reaches an engine at times only, and what other hosts do with its requests. */
async function createRunner(
    isOpen: () => boolean,
    help: (req: EngineRequest, sink: AnswerSink) => EngineExchange,
): Promise<RequestRunner> {
    const transport = {
        send(req: EngineRequest, sink: AnswerSink) {
            directSends += 1;
            return answer(sink, createHead(req, directSends <= rejected, []));
        },
    };
    const forwardTransport = {
        send(req: EngineRequest, mark: ForwardMark, sink: AnswerSink) {
            marks.push(mark);
            return help(req, sink);
        },
    };
    const context = {
        clock,
        transport,
        random: createRandom(1),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: () => undefined },
        deployment: { host: "front-1", domain: "a" },
        // Of the reserve, each of six hosts at least may use a part of its share.
        readBounds: () => ({ retryRatio: ratio, retryReserve: retries * 12, retryWindowMs: 1000 }),
    } as unknown as FrontContext;
    const entry = { id: brandId<EngineId>("i-1"), service: SERVICE, address: { ip: "127.0.0.1", port: 1 } };
    const view = {
        engines: new Map([[entry.id, { entry, isUsable: true } as unknown as KnownEngine]]),
        members: new Map(),
        readAgeMs: () => 0,
        onEngineRemoved: () => undefined,
    } as unknown as ClusterView;
    const members = ["front-2", "front-3", "front-4", "front-5"].map(host => ({
        host: brandId<HostId>(host),
        incarnation: brandId<Incarnation>("1"),
        ip: "127.0.0.1",
        port: 1,
        domain: brandId<FailureDomain>("a"),
        forwardPort: 2,
        isLeaving: false,
    }));
    const paths = {
        ...NO_LOST_PATHS,
        hasSuspect: () => true,
        isServiceSilent: () => !isOpen(),
        findHelper: (service: ServiceName, excluded: ReadonlySet<EngineId | HostId>) =>
            Promise.resolve(members.find(({ host }) => !excluded.has(host))),
    };
    const closures = createEngineClosures(context, view);
    return createRequestRunner(
        context,
        view,
        createEngineLoadTracker(clock, createPerformanceTracker(context)),
        ADAPTERS as unknown as AdapterTracker,
        {} as StreamOrigins,
        QUARANTINE as unknown as Quarantine,
        createEngineLimits(context, view, () => undefined),
        paths,
        closures,
        createForwarder(context, forwardTransport, closures),
    );
}

function createRequest(): ClientRequest {
    return {
        req: { method: "POST", url: "/" },
        res: {},
        requestId: brandId<RequestId>("r1"),
        head: { forwarded: [] },
        route: { kind: "unsafe", isResumable: false, maxEngines: 2, goalMs: 100 },
        priority: 0,
        service: { name: SERVICE, maxConnections: 10, engine: undefined },
        alternatives: [],
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest: undefined,
        startedMs: 0,
        deadlineAtMs: DEADLINE_MS,
        endsBeforeStop: () => true,
        signal: new AbortController().signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: undefined,
        mark: undefined,
    } as unknown as ClientRequest;
}

When(
    /^another host hands a request over that (is counted|isn't counted), and its engine rejects it once$/,
    async (counted: string) => {
        rejected = 1;
        ratio = 10;
        const isCounted = counted === "is counted";
        const mark = {
            from: brandId<HostId>("front-2"),
            sends: 0,
            ...(isCounted ? { isCounted } : {}),
            tried: [],
            origin: undefined,
        };
        const runner = await createRunner(() => true, () => NO_EXCHANGE);
        void runner.run({ ...createRequest(), mark }).then(ended => void (end = ended));
        await advance(MAX_RUN_MS);
    },
);

When(
    /^a request is handed over (before this host looks for|after this host found no) engine, and refused (unseen|after 0 sends)$/,
    async (when: string, refusal: string) => {
        const runner = await createRunner(
            () => when.startsWith("after"),
            (req, sink) => answer(sink, createHead(req, true, refusal === "unseen" ? [] : [SENDS_HEADER, "0"])),
        );
        const usable = when.startsWith("after") ? { maxEngines: 0 } : {};
        const request = createRequest();
        void runner.run({ ...request, route: { ...request.route, ...usable } }).then(ended => void (end = ended));
        await advance(MAX_RUN_MS);
    },
);

Then("the hosts are told that it is counted: {string}", (told: string) => {
    strictEqual(marks.map(({ isCounted }) => isCounted === true ? "yes" : "no").join(" "), told);
});
