// Streams of an adapter are under way at three engines, a new version of the adapter is named, and one engine crashes
// when the new version has been in force for longer than `version_ms`. See claim.txt.
import { writeFileSync } from "node:fs";
import { listEventIds, send } from "../lib-3/client.mjs";
import { startEngine } from "../lib-3/engine.mjs";
import { startFleet } from "../lib-3/fleet.mjs";
import { sleep } from "../lib-3/http.mjs";
import { startStore } from "../lib-3/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VERSION_MS = 5000;
const HOST = "ficu95.example";
const MODEL = "daka510000";
const ADAPTER = "a1";
/** Events of a stream, as many as the sheet's longest, and the time between two of them. */
const EVENTS = 238;
const EVENT_MS = 29;
const STREAMS = 24;
/** When the new version is named, and when an engine crashes, after the first stream. */
const NAMED_MS = 300;
const CRASH_MS = 6000;

const record = [];
const note = (kind, fields) => void record.push({ kind, ...fields });

async function play() {
    const store = await startStore();
    const zones = ["esbjerg", "herning", "aarhus"];
    store.put("op/config", {
        version: 7,
        routes: [{
            name: "tech-svar",
            host: HOST,
            pathPrefix: "/lohu930/",
            kind: "streaming",
            service: "oliemodel",
            timeoutMs: 15_000,
            goalMs: 1000,
            gapAimMs: 250,
            priority: 0,
            maxAttempts: 2,
            resumable: true,
            sticky: true,
        }],
        services: [{
            name: "oliemodel",
            healthPath: "/health",
            maxConns: 370,
            engine: {
                slots: 64,
                kvCapacityTokens: 265_376,
                stride: 4,
                mb: 66_000,
                adapterSlots: 8,
                loadsPerS: 2.1,
                models: [{ name: MODEL, mb: 65_100, loadTimeS: 3.8, adapters: 3000, adapterMb: 66 }],
            },
        }],
        limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 20_000 },
    });
    store.put(`op/version/${MODEL}.${ADAPTER}`, { model: MODEL, adapter: ADAPTER, version: 1 });
    const engines = [];
    for (const [at, zone] of zones.entries()) {
        engines.push(
            await startEngine({
                id: `i-${at + 1}`,
                service: "oliemodel",
                zone,
                store,
                model: MODEL,
                adapterSlots: 8,
                adapters: [[ADAPTER, 1]],
                eventMs: EVENT_MS,
            }),
        );
    }
    const fleet = await startFleet({ names: ["front-a", "front-b", "front-c"], zones, store });
    try {
        if (!fleet.isReady) {
            return 2;
        }
        await sleep(4000);
        const firstMs = performance.now();
        const since = ms => Math.round(ms - firstMs);
        const answers = Array.from({ length: STREAMS }, async (value, at) => {
            await sleep(at * 10);
            const front = fleet.fronts[at % fleet.fronts.length];
            const id = `r${String(at).padStart(3, "0")}`;
            note("sent", { id, to: front.name, atMs: since(performance.now()) });
            const part = (0xab_0000 + at).toString(16);
            const answer = await send(front, {
                id,
                path: `/lohu930/${at}`,
                host: HOST,
                deadlineMs: 15_000,
                headers: {
                    "Model": `${MODEL}/${ADAPTER}`,
                    "Token-Count": `826,${EVENTS * 4}`,
                    "Prompt-Prefix": `${part}:198,${part}f:628`,
                },
                body: "x".repeat(1700),
            });
            const ids = listEventIds(answer.text);
            note("answered", {
                id,
                atMs: since(answer.endedMs),
                status: answer.status,
                events: ids.length,
                isWhole: answer.isWhole && ids.length === EVENTS,
            });
        });
        await sleep(NAMED_MS);
        store.put(`op/version/${MODEL}.${ADAPTER}`, { model: MODEL, adapter: ADAPTER, version: 2 });
        const namedMs = performance.now();
        note("named", { adapter: ADAPTER, version: 2, atMs: since(namedMs) });
        await sleep(CRASH_MS - NAMED_MS);
        const [busiest] = [...engines].sort((a, b) => b.running - a.running);
        if (HAS_TROUBLE) {
            note("crash", { engine: busiest.id, running: busiest.running, atMs: since(performance.now()) });
            busiest.crash();
        }
        await Promise.all(answers);
        const runs = engines.flatMap(engine => engine.runs);
        runs.sort((a, b) => a.atMs - b.atMs).forEach(run =>
            note("run", { ...run, atMs: since(run.atMs), path: undefined, method: undefined, bytes: undefined })
        );
        engines.forEach(engine =>
            engine.orders.forEach(order => note("order", { engine: engine.id, ...order, atMs: since(order.atMs) }))
        );
        const old = runs.filter(run => run.version < 2 && run.atMs - namedMs > VERSION_MS);
        old.forEach(run =>
            note("broken", { id: run.id, engine: run.engine, version: run.version, afterMs: Math.round(run.atMs - namedMs) })
        );
        const whole = record.filter(({ kind, isWhole }) => kind === "answered" && isWhole).length;
        console.log(
            `${runs.length} runs of ${STREAMS} streams, ${whole} streams whole; `
                + `${old.length} runs began on version 1 later than ${VERSION_MS} ms after version 2 was named`,
        );
        return old.length > 0 ? 1 : 0;
    }
    finally {
        await fleet.close();
        engines.forEach(engine => engine.crash());
        store.close();
    }
}

let code = 2;
try {
    code = await play();
}
catch (err) {
    console.error(err);
}
writeFileSync(new URL("record.txt", import.meta.url), record.map(line => JSON.stringify(line)).join("\n") + "\n");
process.exit(code);
