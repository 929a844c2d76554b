// The weights of a split route change while its streams run, and clients take these up again; see claim.txt.
import { createServer } from "node:http";
import { createClient } from "../lib-2/clients.mjs";
import { runCase } from "../lib-2/case.mjs";
import { listen } from "../lib-2/engine.mjs";
import { BOUNDS, clock, createStoreStandin, startFront, wait, waitUntilReady } from "../lib-2/fleet.mjs";
import { openPath } from "../lib-2/path.mjs";

const HOST = "reports.example";
const ZONES = ["a", "b", "c"];
const WEIGHTS = { before: [90, 10], after: [10, 90] };
const STREAMS = 48;
const EVENTS = 60;
const EVENT_MS = 100;
const BUDGET_MS = 15_000;
const SETTLE_MS = 3000;
/** Times since the begin of the streams, in milliseconds. */
const TIMES = { resetMs: 1000, changeMs: 1500 };
const TRY_EVERY_MS = 500;
const HEARTBEAT_MS = 1200;

await runCase(new URL("record.txt", import.meta.url).pathname, async ({ record, folder, hasTrouble, onClose }) => {
    const store = await createStoreStandin(clock);
    const services = ["models-a", "models-b"];
    const writeConfig = (version, weights) => {
        store.put("op/config", {
            version,
            routes: [{ name: "r-1", kind: "streaming", host: HOST, pathPrefix: "/answers/", timeoutMs: BUDGET_MS, goalMs: 1000, priority: 0,
                split: services.map((service, at) => ({ service, weight: weights[at] })), maxAttempts: 2, resumable: true,
                gapAimMs: 250 }],
            services: services.map(name => ({ name, healthPath: "/health", maxConns: 360 })),
            limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        });
        record(`version ${version}: ${services.map((service, at) => `${service} ${weights[at]}`).join(", ")}`);
    };
    writeConfig(1, WEIGHTS.before);
    for (const [at, service] of [services[0], services[0], services[0], services[1], services[1], services[1]].entries()) {
        const id = `m-${at}`;
        const server = createServer((req, res) => {
            req.resume();
            req.on("end", async () => {
                const requestId = req.headers["request-id"] ?? "";
                if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
                    res.writeHead(421, { "Not-Executed": "1", "Request-Id": requestId }).end();
                    return;
                }
                record(`${id} of ${service} runs ${requestId} after event ${req.headers["last-event-id"] ?? 0}`);
                res.writeHead(200, { "Request-Id": requestId, "Response-Seal": id, "Content-Type": "text/event-stream" });
                for (let event = 1 + Number(req.headers["last-event-id"] ?? 0); event <= EVENTS && !res.destroyed; event += 1) {
                    await wait(EVENT_MS);
                    res.write(`id: ${event}\ndata: ${service} ${event}/${EVENTS}\n\n`);
                }
                res.end();
            });
        });
        const port = await listen(server);
        const born = Date.now();
        const beat = () => store.put(`servers/${id}`, { service, address: `127.0.0.1:${port}`, zone: ZONES[at % 3], version: "v1", slots: 64,
            state: "ready", coldLeftMs: 0, seq: 0, born, models: [] });
        beat();
        setInterval(beat, HEARTBEAT_MS);
    }
    const fronts = [];
    for (const [at, zone] of ZONES.entries()) {
        const front = await startFront({ name: `front-${at}`, zone, zones: ZONES, storePort: store.port, folder, record });
        onClose(front.close);
        fronts.push({ ...front, link: await openPath(front.client) });
    }
    await Promise.all(fronts.map(front => waitUntilReady(front)));
    await wait(SETTLE_MS);

    let sent = 0;
    const send = async (front, options) => {
        const client = createClient(() => front.link.port, HOST);
        const result = await client.send({ method: "POST", path: `/answers/${sent += 1}`, body: "q", deadlineMs: BUDGET_MS, ...options });
        client.close();
        return result;
    };
    const startMs = performance.now();
    const until = async ms => wait(Math.max(0, startMs + ms - performance.now()));
    const begun = Array.from({ length: STREAMS }, (unused, at) => send(fronts[at % fronts.length]));
    await until(TIMES.resetMs);
    fronts.forEach(front => front.link.reset());
    record("all channels of clients are reset");
    await until(TIMES.changeMs);
    if (hasTrouble) {
        writeConfig(2, WEIGHTS.after);
    }
    // From here on, all machines are in touch and the newest version is in force.
    await until(TIMES.changeMs + BOUNDS.contactMs);

    const takeUp = async (result, at) => {
        const { id, text, status } = await result;
        const lastEvent = [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
        const service = /^data: (\S+)/m.exec(text)?.[1];
        if (status !== 200 || lastEvent === undefined) {
            throw new Error(`${id} has not begun: ${status}`);
        }
        for (let tries = 0; performance.now() - startMs < BUDGET_MS - 1000; tries += 1) {
            const last = await send(fronts[(at + tries) % fronts.length], {
                deadlineMs: Math.round(BUDGET_MS - (performance.now() - startMs)), headers: { "Resumes": id, "Last-Event-Id": lastEvent },
            });
            record(`${id} of ${service} taken up after event ${lastEvent}: ${last.error ?? last.status} ${last.status === 200 ? "" : last.text}`);
            if (last.status === 200) {
                return true;
            }
            await wait(TRY_EVERY_MS);
        }
        return false;
    };
    const beginNew = () => Promise.all(Array.from({ length: STREAMS }, (unused, at) => send(fronts[at % fronts.length])));
    const [fresh, ...taken] = await Promise.all([beginNew(), ...begun.map(takeUp)]);
    const share = taken.filter(Boolean).length / taken.length;
    const newShare = fresh.filter(({ status }) => status === 200).length / fresh.length;
    const odd = fresh.filter(({ status }) => status !== 200).map(({ status, error }) => status ?? error);
    record(`new streams that did not begin: ${odd.join(", ") || "none"}`);
    return {
        isBroken: share < newShare / 2,
        summary: `${Math.round(share * 100)} in 100 of ${taken.length} streams taken up go on, ${Math.round(newShare * 100)} in 100 of the `
            + "new ones begin",
    };
});
