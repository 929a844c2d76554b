import type { KnownEngine, Service } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, RequestId, ServiceName } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ServerResponse } from "node:http";
import { setImmediate } from "node:timers/promises";
import type { RequestEnd } from "./applyAttempt.js";
import type { ClientRequest } from "./clientRequest.js";
import type { ClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createEngineLimits } from "./createEngineLimits.js";
import { createEngineLoadTracker } from "./createEngineLoadTracker.js";
import type { Quarantine } from "./createQuarantine.js";
import { createSilentEngines, STREAM } from "./createSilentEngines.steps.js";
import type { EngineScript, SilentExchange } from "./createSilentEngines.steps.js";
import { NO_LOST_PATHS } from "./enginePaths.js";
import type { FrontContext } from "./frontContext.js";
import { NO_FORWARDER } from "./noForwarder.steps.js";
import { createPerformanceTracker } from "./performance/createPerformanceTracker.js";
import { createAnswerRelay } from "./relayAnswer.js";
import { createRequestRunner } from "./runRequest.js";
import type { AdapterTracker } from "./startAdapterTracker.js";

/** What a client of one run has got and what the engines have seen. */
interface ClientRun {
    /** The silence of the run and the exchanges, for messages. */
    readonly describe: () => string;
    readonly exchanges: readonly SilentExchange[];
    /** Clock reading when the first engine went on; undefined if it didn't. */
    readonly wentOnMs: number | undefined;
    /** What was written to the client, with clock readings. */
    readonly writes: readonly { readonly text: string; readonly atMs: number }[];
    readonly heads: number;
    /** Clock reading when the response ended; undefined if it didn't. */
    readonly endedMs: number | undefined;
    /** How the request ended, and the clock reading then. */
    readonly end: string;
    readonly overMs: number;
    /** Clock reading when the client left; undefined if it stayed. */
    readonly leftMs: number | undefined;
}

/** When a client leaves. */
interface Leaving {
    readonly afterSecondMs: number;
    readonly latestMs: number;
}

const SERVICE: Service = { name: brandId<ServiceName>("models"), maxConnections: 10, engine: undefined };
const MODEL_SERVICE = { ...SERVICE, engine: {} } as unknown as Service;
/** Step of the clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 10;
/** Time for which a run is watched after its end, in milliseconds. */
const TAIL_MS = 500;
const SOUND: EngineScript = {
    kind: "stream",
    beginMs: 120,
    silentBefore: [],
    silenceMs: 0,
    endsAfterSecondMs: undefined,
    afterSilence: "goes on",
};
/** Parts of a stream before which an engine falls silent, by the words of the feature. */
const PLACES: Readonly<Record<string, readonly string[]>> = {
    "before the head": ["head"],
    "after the head": ["event 1"],
    "after event 1": ["event 2"],
    "after event 5": ["event 6"],
    "inside event 2": ["rest 2"],
    "inside event 5": ["rest 5"],
    "after event 1 and again after event 5": ["event 2", "event 6"],
};
/** Scripts of the other engines in the order in which they are asked; the last one holds for all further engines. */
const OTHERS: Readonly<Record<string, readonly EngineScript[]>> = {
    "are sound": [SOUND],
    "refuse as full": [{ ...SOUND, kind: "full" }],
    "refuse connections": [{ ...SOUND, kind: "unreachable" }],
    "answer 500": [{ ...SOUND, kind: "failing" }],
    "never begin": [{ ...SOUND, kind: "mute" }],
    "begin after 400 ms": [{ ...SOUND, beginMs: 400 }],
    "begin after 600 ms": [{ ...SOUND, beginMs: 600 }],
    "fall silent after event 5": [{ ...SOUND, silentBefore: findPlace("after event 5") }],
    "fall silent inside event 5": [{ ...SOUND, silentBefore: findPlace("inside event 5") }],
    "are sound, but one refuses as full": [{ ...SOUND, kind: "full" }, SOUND],
    "are sound, but one refuses connections": [{ ...SOUND, kind: "unreachable" }, SOUND],
    "are sound, but one falls silent after event 5": [{ ...SOUND, silentBefore: findPlace("after event 5") }, SOUND],
};
/** Silences at intervals of 10 ms from 0.9 to 3 seconds, for races between two engines. */
const MANY_SILENCES = [...Array(211).keys()].map(at => 900 + 10 * at);

let first = SOUND;
let others: readonly EngineScript[] = [];
let othersCount = 0;
let hasBudget = true;
let deadlineMs = 0;
let service = SERVICE;
let sentToFirst = 0;
let runs: ClientRun[] = [];

Given(/^a first engine that falls silent (.*) and (goes on|stays silent)$/, (where: string, then: string) => {
    first = { ...SOUND, silentBefore: findPlace(where), silenceMs: then === "stays silent" ? Infinity : 0 };
});

Given(
    /^a first engine that falls silent (.*) and (goes on|breaks off|refuses as full), at the latest (\d+) ms after another is asked$/,
    (where: string, afterSilence: EngineScript["afterSilence"], endsAfterSecondMs: string) => {
        first = {
            ...SOUND,
            silentBefore: findPlace(where),
            endsAfterSecondMs: Number(endsAfterSecondMs),
            afterSilence,
        };
    },
);

Given(/^(\d+) other engines that (.*)$/, (count: string, behaviour: string) => {
    const scripts = OTHERS[behaviour];
    ok(scripts !== undefined, behaviour);
    others = scripts;
    othersCount = Number(count);
});

Given(/^(a budget|nothing) for retries$/, (budget: string) => void (hasBudget = budget === "a budget"));

Given("a deadline of {int} ms", (ms: number) => {
    deadlineMs = ms;
    service = SERVICE;
});

Given("engines that run models", () => void (service = MODEL_SERVICE));

When("a client's stream runs with each silence of {string} ms", async (silences: string) => {
    runs = [];
    for (const silenceMs of silences === "every 10" ? MANY_SILENCES : silences.split(" ").map(Number)) {
        runs.push(await runOnce(silenceMs, undefined));
    }
});

When(
    "a client leaves its stream {int} ms after a second engine is asked, or after {int} ms",
    async (afterSecondMs: number, latestMs: number) => {
        runs = [await runOnce(0, { afterSecondMs, latestMs })];
    },
);

When("a second client's request comes {int} ms after the first one's", async (afterMs: number) => {
    const clock = createManualClock(0);
    const engines = createSilentEngines(clock, [first]);
    const runner = await createRunner(clock, engines.transport);
    const res = { writeHead: () => undefined } as unknown as ServerResponse;
    const leaver = new AbortController();
    clock.setTimer(deadlineMs, () => leaver.abort());
    void runner.run(createRequest(res, leaver.signal));
    while (clock.nowMs() < afterMs + TAIL_MS) {
        await setImmediate();
        clock.advance(STEP_MS);
        if (clock.nowMs() === afterMs) {
            void runner.run({ ...createRequest(res, leaver.signal), startedMs: afterMs, deadlineAtMs: 2 * deadlineMs });
        }
    }
    sentToFirst = engines.exchanges.length;
    leaver.abort();
});

Then("the engine has got {int} requests", (count: number) => strictEqual(sentToFirst, count));

Then(
    "each stream's request ends as {string}",
    (end: string) => runs.forEach(run => strictEqual(run.end, end, `${run.end} instead of ${end}: ${run.describe()}`)),
);

Then(
    "each client has got each event once and in order, without a gap of {int} ms",
    (gapMs: number) =>
        runs.forEach(run => {
            const { writes, heads, endedMs, describe } = run;
            const text = writes.map(write => write.text).join("");
            strictEqual(text, STREAM.join(""), `${JSON.stringify(text)} was sent: ${describe()}`);
            strictEqual(heads, 1, `${heads} heads: ${describe()}`);
            ok(endedMs !== undefined, `the response did not end: ${describe()}`);
            const timesMs = [0, ...writes.map(({ atMs }) => atMs), endedMs];
            const longestMs = Math.max(...timesMs.slice(1).map((ms, at) => ms - (timesMs[at] ?? 0)));
            ok(longestMs < gapMs, `a gap of ${longestMs} ms: ${describe()}`);
        }),
);

Then(
    "no engine works on a request {int} ms after a later one has begun, or after the request's end",
    (ms: number) =>
        runs.forEach(({ exchanges, overMs, describe }) =>
            exchanges.forEach((exchange, at) => {
                const closedMs = exchange.closedMs ?? Infinity;
                ok(closedMs <= overMs, `exchange ${at + 1} is left open: ${describe()}`);
                exchanges.slice(at + 1).forEach(({ beganMs }) =>
                    ok(closedMs <= (beganMs ?? Infinity) + ms, `exchange ${at + 1} beside a later one: ${describe()}`)
                );
            })
        ),
);

Then(
    "the first engine has sent the whole stream, and no other works on it {int} ms after it has gone on",
    (ms: number) =>
        runs.forEach(({ exchanges, wentOnMs, describe }) => {
            const [started, ...later] = exchanges;
            strictEqual(started?.end, "sent", describe());
            ok(wentOnMs !== undefined, describe());
            later.forEach(({ closedMs }) => ok((closedMs ?? Infinity) <= wentOnMs + ms, describe()));
        }),
);

Then("another engine than the first has sent the end of each stream", () =>
    runs.forEach(({ exchanges, describe }) => {
        const senders = exchanges.filter(({ end }) => end === "sent");
        strictEqual(senders.length, 1, describe());
        strictEqual(senders[0]?.isFirst, false, describe());
    }));

Then(
    "the exchanges with all engines have been cancelled at once, and none has begun since",
    () =>
        runs.forEach(({ exchanges, leftMs, end, describe }) => {
            ok(leftMs !== undefined, describe());
            ok(end.startsWith("gave_up"), describe());
            ok(exchanges.some(({ closedMs }) => closedMs === leftMs), `none was open: ${describe()}`);
            exchanges.forEach(({ sentMs, closedMs }) => {
                ok(sentMs <= leftMs, describe());
                ok(closedMs !== undefined && closedMs <= leftMs, describe());
            });
        }),
);

/** Runs one request until its end, and some time beyond. */
async function runOnce(silenceMs: number, leaving: Leaving | undefined): Promise<ClientRun> {
    const clock = createManualClock(0);
    const withSilence = (script: EngineScript): EngineScript =>
        script.silenceMs === 0 ? { ...script, silenceMs } : script;
    const engines = createSilentEngines(clock, [first, ...others].map(withSilence));
    const { exchanges } = engines;
    const leaver = new AbortController();
    clock.setTimer(deadlineMs, () => leaver.abort());
    const writes: { readonly text: string; readonly atMs: number }[] = [];
    let heads = 0;
    let endedMs: number | undefined;
    let leftMs: number | undefined;
    const res = {
        writeHead: () => void (heads += 1),
        write: (bytes: Buffer) => writes.push({ text: bytes.toString("utf8"), atMs: clock.nowMs() }) > 0,
        end: () => void (endedMs ??= clock.nowMs()),
    } as unknown as ServerResponse;
    const runner = await createRunner(clock, engines.transport);
    let end: string | undefined;
    let overMs = Infinity;
    void runner.run(createRequest(res, leaver.signal)).then(result => {
        end = formatEnd(result);
        overMs = clock.nowMs();
    });
    while (clock.nowMs() < Math.min(overMs, deadlineMs) + TAIL_MS) {
        await setImmediate();
        clock.advance(STEP_MS);
        const secondMs = exchanges.find(({ isFirst }) => !isFirst)?.sentMs ?? Infinity;
        if (
            leaving !== undefined && leftMs === undefined
            && clock.nowMs() >= Math.min(secondMs + leaving.afterSecondMs, leaving.latestMs)
        ) {
            leftMs = clock.nowMs();
            leaver.abort();
        }
    }
    const describe = (): string =>
        `silence of ${silenceMs} ms, over at ${overMs} as ${end}, ${writes.length} writes, exchanges: `
        + JSON.stringify(exchanges);
    const { wentOnMs } = engines;
    return { describe, exchanges, wentOnMs, writes, heads, endedMs, end: end ?? "runs on", overMs, leftMs };
}

async function createRunner(
    clock: FrontContext["clock"],
    transport: FrontContext["transport"],
): Promise<ReturnType<typeof createRequestRunner>> {
    const known = [...Array(1 + othersCount).keys()].map(at => {
        const id = brandId<EngineId>(`i-${at}`);
        const address = { ip: "127.0.0.1", port: at };
        const entry = { id, service: SERVICE.name, softwareVersion: "v1", address, slots: 8 };
        return [id, { entry, isUsable: true } as unknown as KnownEngine] as const;
    });
    const context = {
        clock,
        transport,
        random: createRandom(1),
        hash: await createHasher(),
        metrics: createMetrics(),
        log: { write: () => undefined },
        deployment: { domain: "a" },
        readBounds: () => ({
            retryRatio: hasBudget ? 1 : 0,
            retryReserve: hasBudget ? 100 : 0,
            retryWindowMs: 10_000,
        }),
    } as unknown as FrontContext;
    const clusterView = {
        engines: new Map(known),
        members: new Map(),
        readAgeMs: () => 0,
        onEngineRemoved: () => undefined,
        markReplaced: () => undefined,
    } as unknown as ClusterView;
    const adapters = {
        startRequest: () => undefined,
        finishRequest: () => undefined,
        find: () => ({ kind: "present" }),
        refresh: () => Promise.resolve(false),
        countLoad: () => undefined,
        countQueuedTokens: () => undefined,
    } as unknown as AdapterTracker;
    const streamOrigins = {
        record: () => undefined,
        findRequired: () => undefined,
        stop: () => undefined,
        keep: () => Promise.resolve(true),
        answer: () => ({ kind: "unknown" }) as const,
        find: () => Promise.resolve(undefined),
    };
    return createRequestRunner(
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

function createRequest(res: ServerResponse, signal: AbortSignal): ClientRequest {
    return {
        req: { method: "POST", url: "/" },
        res,
        requestId: brandId<RequestId>("r1"),
        head: { forwarded: [] },
        route: {
            kind: "streaming",
            isResumable: true,
            maxEngines: 3,
            goalMs: 800,
            timeoutMs: deadlineMs,
        },
        priority: 0,
        service,
        alternatives: [],
        requestedAdapter: undefined,
        body: Buffer.alloc(0),
        digest: undefined,
        startedMs: 0,
        deadlineAtMs: deadlineMs,
        endsBeforeStop: () => true,
        signal,
        times: { sentMs: undefined, firstByteMs: undefined },
        relay: createAnswerRelay(res, { sendsCompleteEvents: true, isClosing: () => false }),
    } as unknown as ClientRequest;
}

function findPlace(where: string): readonly string[] {
    const place = PLACES[where];
    ok(place !== undefined, where);
    return place;
}

function formatEnd(end: RequestEnd): string {
    return end.kind === "gave_up" ? `gave_up ${end.outcome} ${end.reason}` : end.kind;
}
