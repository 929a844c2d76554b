// Another writer leaves one odd entry among those of the engines, with a service's name that ends in half a character.
import { Agent } from "node:http";
import { BROKEN, HELD, runCase, sleep } from "../lib/case.mjs";
import { createRequestId, sendRequest } from "../lib/client.mjs";
import { writeConfig } from "../lib/config.mjs";
import { startPlainEngine } from "../lib/engine.mjs";
import { BOUNDS, startFronts, waitUntilReady } from "../lib/front.mjs";
import { startStore } from "../lib/store.mjs";

const ZONES = ["wien-a", "wien-b", "linz-c"];
const HOST_NAME = "portal.example";
const FRONTS = 6;
const ENGINES = 3;
/** Time that an engine works on a request, in milliseconds; the longest that the deployment states is 220. */
const WORK_MS = 150;
/** Kept channels of clients at each front. */
const CHANNELS = 4;
const PAUSE_MS = 100;
/** Time in service before and after the odd entry, in milliseconds. */
const BEFORE_MS = BOUNDS.contactMs + 2000;
const AFTER_MS = 10_000;
/** Delay after which the platform starts a process again that has ended, in milliseconds. */
const RESTART_AFTER_MS = 300;
/** Most requests that machines in touch may pass on and then leave without an answer. */
const MOST_LOST = 3;
/** The name of a service that isn't in the config, cut off in the middle of its last character. */
const ODD_SERVICE = "archive-🗄".slice(0, -1);

/** What was sent, answered and run. */
const RECORD_FILE = new URL("record.txt", import.meta.url);

await runCase(RECORD_FILE, async ({ record, closers, isTroubled }) => {
    const store = await startStore();
    closers.push(() => store.close());
    const runs = [];
    writeConfig(store, {
        version: 1,
        routes: [{
            name: "levy-invoice",
            host: HOST_NAME,
            pathPrefix: "/invoice/",
            kind: "unsafe",
            timeoutMs: 800,
            goalMs: 150,
            service: "mitglieder-app",
        }],
        services: [{ name: "mitglieder-app" }],
    });
    for (let index = 0; index < ENGINES; index += 1) {
        const engine = await startPlainEngine({
            id: `i-${index}`,
            service: "mitglieder-app",
            zone: ZONES[index],
            store,
            runs,
            slots: 24,
            answer: (res, text, { requestId }) => void setTimeout(() => {
                res.writeHead(200, { "Request-Id": requestId, "Response-Seal": `seal.${requestId}` }).end(text);
            }, WORK_MS),
        });
        closers.push(() => engine.close());
    }
    const fleet = await startFronts({ count: FRONTS, zones: ZONES, storePort: store.port });
    closers.push(() => fleet.close());
    await waitUntilReady(fleet.fronts, 15_000);

    let isOver = false;
    const keepRunning = async index => {
        while (!isOver) {
            await fleet.fronts[index].exited;
            if (!isOver) {
                const { name, exits } = fleet.fronts[index];
                const { code, signal } = exits.at(-1);
                record("process-ended", { front: name, code, signal, count: exits.length });
                await sleep(RESTART_AFTER_MS);
                await fleet.restart(index);
            }
        }
    };
    fleet.fronts.forEach((_, index) => void keepRunning(index));
    const answers = [];
    let isSending = true;
    const useChannel = async front => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        let served = 0;
        while (isSending) {
            const requestId = createRequestId();
            const request = { port: front.port, method: "POST", path: "/invoice/1", hostName: HOST_NAME, agent };
            const answer = await sendRequest({ ...request, requestId, deadlineMs: 800, body: "invoice" });
            answers.push({ ...answer, front: front.name, isKept: served > 0 });
            served = answer.isComplete ? served + 1 : 0;
            await sleep(PAUSE_MS);
        }
        agent.destroy();
    };
    const channels = fleet.fronts.flatMap(front => Array.from({ length: CHANNELS }, () => useChannel(front)));
    await sleep(BEFORE_MS);
    const oddMs = performance.now();
    if (isTroubled) {
        const entry = { service: ODD_SERVICE, address: "127.0.0.1:9", zone: ZONES[0], version: "v1", slots: 6 };
        const revision = store.put("servers/odd", { ...entry, state: "ready", coldLeftMs: 0, seq: 0, born: Date.now() });
        record("odd-entry", { key: "servers/odd", service: JSON.stringify(ODD_SERVICE), revision });
    }
    await sleep(AFTER_MS);
    isSending = false;
    await Promise.all(channels);
    isOver = true;

    const ran = new Set(runs.map(({ requestId }) => requestId));
    const lost = answers.filter(({ requestId, isKept, isComplete, status }) =>
        isKept && status === 0 && !isComplete && ran.has(requestId)
    );
    const engineByRequest = new Map(runs.map(({ requestId, engine }) => [requestId, engine]));
    const isLost = new Set(lost);
    for (const answer of answers) {
        const { requestId, front, isKept, sentMs, endedMs, status, isComplete } = answer;
        record("request", {
            requestId,
            front,
            isKept,
            sentAfterMs: Math.round(sentMs - oddMs),
            endedAfterMs: Math.round(endedMs - oddMs),
            status,
            isComplete,
            engine: engineByRequest.get(requestId),
            isLost: isLost.has(answer),
        });
    }
    const countServed = (fromMs, untilMs) => {
        const sent = answers.filter(({ sentMs }) => sentMs >= fromMs && sentMs < untilMs);
        return `${sent.filter(({ status }) => status === 200).length}/${sent.length}`;
    };
    const ends = fleet.fronts.map(({ exits }) => exits.length);
    record("served", { before: countServed(0, oddMs), after: countServed(oddMs, Infinity) });
    record("ends", { byFront: ends.join(",") });
    const summary = `${lost.length} requests on kept channels were passed on to sound engines and got no answer; the `
        + `processes ended by themselves ${ends.join(", ")} times; served before ${countServed(0, oddMs)}, after `
        + `${countServed(oddMs, Infinity)}`;
    if (!answers.some(({ status }) => status === 200)) {
        throw new Error("no request was served");
    }
    return lost.length > MOST_LOST ? { code: BROKEN, reason: `LOST: ${summary}` } : { code: HELD, reason: summary };
});
