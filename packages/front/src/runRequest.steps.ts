import type {
    AnswerSink,
    EngineAnswerHead,
    EngineRequest,
    EngineTransport,
    KnownEngine,
    Service,
} from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { StreamOrigin, StreamRecord } from "@fulmarcleat/wire";
import type { ServerResponse } from "node:http";
import { setImmediate } from "node:timers/promises";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import type { Quarantine } from "./createQuarantine.js";
import { NO_LOST_PATHS } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import { NO_FORWARDER } from "./noForwarder.steps.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import { createAnswerRelay } from "./relayAnswer.js";
import { createRequestRunner } from "./runRequest.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

const SERVICE: Service = { name: brandId<ServiceName>("models"), maxConnections: 10, engine: undefined };
const EVENTS = ["id: 1\n\n", "id: 2\n\n"];
/** What an engine does. */
type Act =
    /** Sends the whole stream. */
    | { readonly kind: "whole" }
    /** Breaks off after so many whole events. */
    | { readonly kind: "break"; readonly events: number }
    /** Sends an event without end until the exchange is cancelled. */
    | { readonly kind: "flood" }
    /** Answers with a failure. */
    | { readonly kind: "fail" }
    /** Answers with success and a body that is no stream. */
    | { readonly kind: "page"; readonly mediaType: string };
/** What the first engines of a run do; the others send the whole stream. */
const ACTS: Readonly<Record<string, readonly Act[]>> = {
    "send the whole stream": [],
    "break off after the first event": [{ kind: "break", events: 1 }],
    "break off before an event": [{ kind: "break", events: 0 }],
    "break off after the first event, then fail once": [{ kind: "break", events: 1 }, { kind: "fail" }],
    "break off after the first event, then answer with a page once": [
        { kind: "break", events: 1 },
        { kind: "page", mediaType: "text/html" },
    ],
    "break off after the first event, then answer without a type once": [
        { kind: "break", events: 1 },
        { kind: "page", mediaType: "" },
    ],
    "break off after the first event, then send an event without end": [{ kind: "break", events: 1 }, {
        kind: "flood",
    }],
    "break off inside an event, then answer with a page once": [
        { kind: "break", events: 1.5 },
        { kind: "page", mediaType: "text/html" },
    ],
};

let engines: Map<EngineId, KnownEngine>;
/** Where streams have to begin once a record wasn't stored; undefined if the store takes records. */
let required: StreamOrigin | undefined;
/** Another service of the request's route. */
let alternative: Service | undefined;
let acts: readonly Act[] = [];
let isResumed = false;
let origin: StreamOrigin | undefined;
let results: { readonly sent: string; readonly end: string }[] = [];
let receivedTexts: string[] = [];

Given(/^engines of the versions "(.*)" that (.*)$/, (versions: string, behaviour: string) => {
    ok(behaviour in ACTS);
    required = undefined;
    alternative = undefined;
    acts = ACTS[behaviour] ?? [];
    engines = new Map(
        versions.split(" ").map((version, at) => {
            const id = brandId<EngineId>(`i-${at}`);
            const entry = {
                id,
                service: SERVICE.name,
                softwareVersion: version,
                address: { ip: "127.0.0.1", port: at },
            };
            return [id, { entry, isUsable: true } as unknown as KnownEngine];
        }),
    );
});

Given("engines of the versions {string} in the route's other service {string}", (versions: string, name: string) => {
    alternative = { ...SERVICE, name: brandId(name) };
    versions.split(" ").forEach((version, at) => {
        const id = brandId<EngineId>(`other-${at}`);
        const entry = {
            id,
            service: name,
            softwareVersion: `${version} of ${name}`,
            address: { ip: "127.0.0.1", port: 100 + at },
        };
        engines.set(id, { entry, isUsable: true } as unknown as KnownEngine);
    });
});

Given(/^the store takes no records of streams, which have to begin at (v\d)$/, (version: string) => {
    required = { service: SERVICE.name, softwareVersion: brandId<SoftwareVersion>(version) };
});

Given("a stream that is new", () => {
    isResumed = false;
    origin = undefined;
});

Given("a stream that began nobody knows where", () => {
    isResumed = true;
    origin = undefined;
});

Given(/^a stream that began at (v\d+) in (\S+)$/, (version: string, service: string) => {
    isResumed = true;
    const softwareVersion = service === alternative?.name ? `${version} of ${service}` : version;
    origin = { service: brandId(service), softwareVersion: brandId<SoftwareVersion>(softwareVersion) };
});

Then("each client has received {string}", (events: string) => {
    receivedTexts.forEach(text => strictEqual(text, events.replaceAll("\\n", "\n")));
});

When("a client's request for the stream runs {int} times", async (count: number) => {
    receivedTexts = [];
    results = [];
    for (let seed = 0; seed < count; seed += 1) {
        results.push(await runOnce(seed));
    }
});

Then("each run is sent to versions {string} and ends as {string}", (sent: string, end: string) => {
    const allowed = sent.split("/");
    results.forEach(result => {
        ok(allowed.includes(result.sent), `sent to ${result.sent}`);
        strictEqual(result.end, end);
    });
});

async function runOnce(seed: number): Promise<{ readonly sent: string; readonly end: string }> {
    const clock = createManualClock(0);
    const sent: string[] = [];
    const transport = {
        send(req: EngineRequest, sink: AnswerSink) {
            sent.push(engines.get(req.target.id)?.entry.softwareVersion ?? "");
            const act = acts[sent.length - 1] ?? { kind: "whole" };
            let isCancelled = false;
            queueMicrotask(() => answer(req, sink, act, () => isCancelled));
            return { cancel: () => void (isCancelled = true), resume: () => undefined };
        },
    } as unknown as EngineTransport;
    const context = {
        clock,
        transport,
        random: createRandom(seed),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: () => undefined },
        deployment: { domain: "a" },
        readBounds: () => ({ retryRatio: 1, retryReserve: 10, retryWindowMs: 1000 }),
    } as unknown as FrontContext;
    const clusterView = {
        engines,
        members: new Map(),
        readAgeMs: () => 0,
        onEngineRemoved: () => undefined,
    } as unknown as ClusterView;
    const adapters = {
        startRequest: () => undefined,
        finishRequest: () => undefined,
    } as unknown as AdapterTracker;
    // As long as no record has failed, streams begin at the first engine, which has another version.
    let isStoreAway = false;
    const streamOrigins = {
        record({ softwareVersion }: StreamRecord) {
            if (required === undefined || softwareVersion === required.softwareVersion) {
                return undefined;
            }
            isStoreAway = true;
            return setImmediate(false);
        },
        findRequired: () => isStoreAway ? required : undefined,
        stop: () => undefined,
        keep: () => Promise.resolve(true),
        answer: () => ({ kind: "unknown" }) as const,
        find: () => Promise.resolve(origin),
    };
    const runner = createRequestRunner(
        context,
        clusterView,
        createEngineLoadTracker(clock, createPerformanceTracker(context)),
        adapters,
        streamOrigins,
        NO_QUARANTINE,
        createEngineLimits(context, clusterView, () => undefined),
        NO_LOST_PATHS,
        createEngineClosures(context, clusterView),
        NO_FORWARDER,
    );
    const end = await runner.run(createRequest());
    return { sent: sent.join(","), end: formatEnd(end) };
}

/** A quarantine that holds nothing. */
const NO_QUARANTINE: Quarantine = {
    find: () => undefined,
    findAtSend: () => undefined,
    recordAnswer: () => undefined,
    recordBreak: () => undefined,
    handleCrash: () => ({ quarantined: [] }),
    handleQuestion: () => ({ answeredAgoMs: undefined }),
    handleNotice: () => undefined,
};

/** A page with an empty line, as between two events, and a head in its middle. */
const PAGE = "<p>overloaded</p>\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n";

/** Most pieces of an event without end. */
const MAX_PIECES = 1000;
const PIECE = Buffer.alloc(16_384, "a");

function answer(req: EngineRequest, sink: AnswerSink, act: Act, isCancelled: () => boolean): void {
    const mediaType = act.kind === "page" ? act.mediaType : "text/event-stream";
    const head: EngineAnswerHead = {
        status: act.kind === "fail" ? 500 : 200,
        framing: "chunks",
        headers: mediaType === "" ? [] : ["Content-Type", mediaType],
        requestId: req.requestId,
        isNotRun: false,
        load: undefined,
        limit: { kind: "none" },
        instance: undefined,
        notice: undefined,
    };
    const sendEvents = (until?: number): void =>
        EVENTS.slice(Number(req.lastEventId ?? 0), until).forEach(event => sink.piece(Buffer.from(event)));
    sink.head(head);
    switch (act.kind) {
        case "whole":
            sendEvents();
            sink.end();
            return;
        case "break":
            sendEvents(Math.floor(act.events));
            if (!Number.isInteger(act.events)) {
                sink.piece(Buffer.from("id: 2\nda"));
            }
            sink.fail({ kind: "broken", reason: "ECONNRESET" });
            return;
        case "flood":
            for (let piece = 0; !isCancelled(); piece += 1) {
                ok(piece < MAX_PIECES, "the event is read on");
                sink.piece(PIECE);
            }
            return;
        case "fail":
            sink.end();
            return;
        case "page":
            sink.piece(Buffer.from(PAGE));
            sink.end();
            return;
    }
}

function createRequest(): ClientRequest {
    const at = receivedTexts.push("") - 1;
    const res = {
        writeHead: () => undefined,
        write(bytes: Buffer) {
            receivedTexts[at] += bytes.toString();
            return true;
        },
        end: () => undefined,
    } as unknown as ServerResponse;
    return {
        req: { method: "GET", url: "/" },
        res,
        requestId: brandId<RequestId>("r2"),
        head: {
            forwarded: [],
            lastEventId: isResumed ? "1" : undefined,
            resumedRequestId: isResumed ? brandId<RequestId>("r1") : undefined,
        },
        route: { kind: "streaming", isResumable: true, maxEngines: 3, goalMs: 100 },
        priority: 0,
        service: SERVICE,
        alternatives: alternative === undefined ? [] : [{ service: alternative, requestedAdapter: undefined }],
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest: undefined,
        startedMs: 0,
        deadlineAtMs: 1000,
        endsBeforeStop: () => true,
        signal: new AbortController().signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
    } as unknown as ClientRequest;
}

function formatEnd(end: RequestEnd): string {
    return end.kind === "gave_up" ? `gave_up ${end.outcome} ${end.reason}` : end.kind;
}
