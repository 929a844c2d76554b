// Engines of two software versions serve side by side; all fronts are killed at once, and clients take their streams up.
import { request as requestHttp } from "node:http";
import { BROKEN, HELD, runCase, sleep } from "../lib/case.mjs";
import { createRequestId } from "../lib/client.mjs";
import { writeConfig } from "../lib/config.mjs";
import { BOUNDS, startFronts, waitUntilReady } from "../lib/front.mjs";
import { startModelEngine } from "../lib/modelEngine.mjs";
import { startStore } from "../lib/store.mjs";

const ZONES = ["wien-a", "wien-b", "linz-c"];
const HOST_NAME = "reports.example";
const MODEL = "m0";
const SERVICE = "bericht-llm";
const FRONTS = 6;
const VERSIONS = ["v1", "v2"];
const ENGINES_PER_VERSION = 3;
const STREAMS = 24;
/** Time budget of a client and timeout of the route, in milliseconds. */
const BUDGET_MS = 6000;
const EVENTS = 40;
/** Pause between two events, in milliseconds; clients accept 250. */
const EVENT_INTERVAL_MS = 100;
/** Time after the first streams at which they break, in milliseconds. */
const BREAK_AFTER_MS = 700;
const RESTART_AFTER_MS = 300;
/** Time between two tries of a client to take its stream up, in milliseconds, and the number of them. */
const RETRY_MS = 1200;
const TRIES = 4;
/** Fewest streams taken up again from which the rule counts. */
const LEAST_STREAMS = 12;

const createAnswer = version => (req, res, requestId) => void (async () => {
    const from = Number(req.headers["last-event-id"] ?? 0) + 1;
    res.writeHead(200, {
        "Request-Id": requestId,
        "Response-Seal": `seal.${requestId}`,
        "Content-Type": "text/event-stream",
        "Server-Load": "1,0,64",
    });
    for (let event = from; event <= EVENTS && !res.destroyed; event += 1) {
        res.write(`id: ${event}\ndata: ${version} ${event}\n\n`);
        await sleep(EVENT_INTERVAL_MS);
    }
    res.end();
})();

/** Sends a stream's request; `cut` closes the client's channel. */
const sendStream = ({ front, requestId, resumed, deadlineMs }) => {
    const stream = { front, requestId, sentMs: performance.now(), status: 0, text: "", isComplete: false };
    const req = requestHttp({
        host: "127.0.0.1",
        port: front.port,
        method: "POST",
        path: "/compare/1",
        headers: {
            "Host": HOST_NAME,
            "Request-Id": requestId,
            "Deadline-Ms": String(Math.round(deadlineMs)),
            "Model": MODEL,
            "Token-Count": `800,${EVENTS * 4}`,
            "Prompt-Prefix": `${requestId}:800`,
            ...(resumed === undefined
                ? {}
                : { "Resumes": resumed.requestId, "Last-Event-Id": String(resumed.lastEvent) }),
        },
        timeout: deadlineMs,
    });
    stream.ended = new Promise(resolve => {
        req.on("response", res => {
            stream.status = res.statusCode;
            res.setEncoding("utf8");
            res.on("data", text => {
                stream.text += text;
            });
            res.on("error", () => undefined);
            res.on("close", () => {
                stream.isComplete = res.complete;
                resolve();
            });
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve());
    });
    stream.cut = () => req.destroy();
    req.end("compare the arcades of last quarter");
    return stream;
};

const readEvents = text => [...text.matchAll(/^id: (\d+)\ndata: (\S+) \d+\n\n/gm)];

/** What was sent, answered and run. */
const RECORD_FILE = new URL("record.txt", import.meta.url);

await runCase(RECORD_FILE, async ({ record, closers, isTroubled }) => {
    const store = await startStore();
    closers.push(() => store.close());
    const runs = [];
    const engine = { slots: 64, mb: 74_700, adapterSlots: 8, loadsPerS: 2.1 };
    const model = { name: MODEL, mb: 72_700, loadTimeS: 0.61, adapters: 3000, adapterMb: 66 };
    writeConfig(store, {
        version: 1,
        routes: [{
            name: "arcade-compare",
            host: HOST_NAME,
            pathPrefix: "/compare/",
            kind: "streaming",
            timeoutMs: BUDGET_MS,
            goalMs: 1000,
            gapAimMs: 250,
            sticky: true,
            resumable: true,
            maxAttempts: 2,
            service: SERVICE,
        }],
        services: [{ name: SERVICE, maxConns: 360, engine: { ...engine, models: [model] } }],
    });
    for (const version of VERSIONS) {
        for (let index = 0; index < ENGINES_PER_VERSION; index += 1) {
            const id = `i-${version}-${index}`;
            const zone = ZONES[index];
            const answer = createAnswer(version);
            const started = await startModelEngine({ id, service: SERVICE, zone, store, model: MODEL, runs, version, answer });
            closers.push(() => started.close());
        }
    }
    const fleet = await startFronts({ count: FRONTS, zones: ZONES, storePort: store.port });
    closers.push(() => fleet.close());
    await waitUntilReady(fleet.fronts, 15_000);
    await sleep(BOUNDS.contactMs + 1000);

    const startMs = performance.now();
    const first = Array.from({ length: STREAMS }, (_, index) =>
        sendStream({ front: fleet.fronts[index % FRONTS], requestId: createRequestId(), deadlineMs: BUDGET_MS })
    );
    await sleep(BREAK_AFTER_MS);
    let touchMs = 0;
    if (isTroubled) {
        fleet.fronts.forEach(({ child }) => child.kill("SIGKILL"));
        record("kill-all", { fronts: FRONTS });
        await Promise.all(fleet.fronts.map(({ exited }) => exited));
        await sleep(RESTART_AFTER_MS);
        await Promise.all(fleet.fronts.map((front, index) => fleet.restart(index)));
        touchMs = performance.now() + BOUNDS.contactMs;
    }
    else {
        first.forEach(stream => stream.cut());
        record("clients-cut", { streams: STREAMS });
    }
    await Promise.all(first.map(({ ended }) => ended));
    const leftMs = () => startMs + BUDGET_MS - performance.now();
    const takeUp = async (broken, index) => {
        const events = readEvents(broken.text);
        const resumed = { requestId: broken.requestId, lastEvent: Number(events.at(-1)?.[1] ?? 0) };
        const tries = [];
        for (let count = 1; count <= TRIES && leftMs() > RETRY_MS; count += 1) {
            await sleep(RETRY_MS);
            const front = fleet.fronts[(index + count) % FRONTS];
            const stream = sendStream({ front, requestId: createRequestId(), resumed, deadlineMs: leftMs() });
            await stream.ended;
            tries.push(stream);
            if (stream.status === 200) {
                break;
            }
        }
        const last = tries.at(-1);
        const version = events[0]?.[2];
        const more = readEvents(last.text);
        record("stream", {
            requestId: broken.requestId,
            version,
            lastEvent: resumed.lastEvent,
            tries: tries.map(({ status, sentMs }) => `${status}@${((sentMs - startMs) / 1000).toFixed(1)}`).join(","),
            wentOn: more.length > 0,
            versions: [...new Set(more.map(event => event[2]))].join("+"),
        });
        return { lastTryMs: last.sentMs, wentOn: more.length > 0, isJoined: more.some(event => event[2] !== version) };
    };
    const begin = async index => {
        await sleep(Math.max(0, touchMs - performance.now()) + index * 50);
        const front = fleet.fronts[index % FRONTS];
        const stream = sendStream({ front, requestId: createRequestId(), deadlineMs: BUDGET_MS });
        await sleep(1000);
        stream.cut();
        const events = readEvents(stream.text);
        record("new-stream", { requestId: stream.requestId, status: stream.status, events: events.length });
        return events.length > 0;
    };
    const begunStreams = Array.from({ length: STREAMS }, (_, index) => begin(index));
    const taken = await Promise.all(first.filter(({ text }) => readEvents(text).length > 0).map(takeUp));
    const begun = await Promise.all(begunStreams);

    runs.forEach(({ requestId, engine: id, version, atMs }) =>
        record("run", { requestId, engine: id, version, atS: ((atMs - startMs) / 1000).toFixed(1) })
    );
    const judged = taken.filter(({ lastTryMs }) => lastTryMs >= touchMs);
    const goesOn = judged.filter(({ wentOn }) => wentOn).length;
    const begins = begun.filter(Boolean).length;
    record("counted", { takenUp: judged.length, wentOn: goesOn, begun: begins, tried: begun.length });
    record("joined", { streams: taken.filter(({ isJoined }) => isJoined).length });
    if (judged.length < LEAST_STREAMS || begins === 0) {
        throw new Error(`only ${judged.length} streams were taken up again in touch, ${begins} new ones began`);
    }
    const summary = `${goesOn} of ${judged.length} streams that clients took up again went on, while ${begins} of `
        + `${begun.length} new ones began and three engines of each version served`;
    return goesOn / judged.length < begins / begun.length / 2
        ? { code: BROKEN, reason: `LOST: ${summary}` }
        : { code: HELD, reason: summary };
});
