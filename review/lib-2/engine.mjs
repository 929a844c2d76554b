// A sound model engine, as the pages describe it, that records the orders and the requests that it gets.
import { createServer } from "node:http";
import { randomUUID } from "node:crypto";

const LOOPBACK = "127.0.0.1";
const HEARTBEAT_MS = 1200;
const LOAD_MS = 250;
const EVENT_MS = 15;
const MODEL = "base";

export const listen = (server, port = 0) =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, LOOPBACK, () => resolve(server.address().port));
    });

const readBody = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** Starts an engine; `orders` and `runs` hold what it got, with clock readings of `performance.now()`. */
export async function startEngine({ id, service, zone, store, slots, adapterSlots, version = "v1", workMs = 40 }) {
    const orders = [];
    const runs = [];
    const overloads = [];
    const residents = new Map();
    let seq = 0;
    let highestFence = 0;
    let running = 0;
    const list = isReady => [...residents].filter(([, { readyMs }]) => (readyMs <= performance.now()) === isReady)
        .map(([name, held]) => `${name}@${held.version}`);
    const models = () => adapterSlots === undefined ? [] : [{ name: MODEL, version: 1, adapters: list(true) }];
    const order = ({ operation, model, adapter, holder, fencingToken, precondition, version: wanted }) => {
        if (typeof holder !== "string" || typeof fencingToken !== "number" || model !== MODEL || adapter === undefined) {
            return 400;
        }
        if (fencingToken < highestFence) {
            return 412;
        }
        highestFence = fencingToken;
        if (precondition !== undefined && precondition !== seq) {
            return 409;
        }
        const held = residents.get(adapter);
        if (operation === "unload") {
            seq += 1;
            if (held?.runs > 0) {
                held.isLeaving = true;
                return 202;
            }
            residents.delete(adapter);
            return 200;
        }
        if (held !== undefined && !held.isLeaving && (wanted === undefined || held.version === wanted)) {
            return 200;
        }
        if (held === undefined && residents.size >= adapterSlots) {
            overloads.push(adapter);
            return 400;
        }
        if (held?.runs > 0) {
            return 409;
        }
        seq += 1;
        residents.set(adapter, { version: wanted ?? 1, readyMs: performance.now() + LOAD_MS, runs: 0, isLeaving: false });
        return 202;
    };
    const refuse = (res, status, requestId) =>
        res.writeHead(status, { "Not-Executed": "1", "Request-Id": requestId, "Server-Load": `${running},0,${slots}` }).end();
    const serve = async (req, res) => {
        const requestId = req.headers["request-id"] ?? "";
        const adapter = (req.headers.model ?? "").split("/")[1];
        await readBody(req);
        const held = residents.get(adapter);
        const wanted = req.headers["expect-version"];
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
            return refuse(res, 421, requestId);
        }
        if (adapter !== undefined) {
            if (held === undefined || held.readyMs > performance.now() || wanted !== undefined && Number(wanted) !== held.version) {
                return refuse(res, 421, requestId);
            }
            if (held.isLeaving) {
                return refuse(res, 503, requestId);
            }
            held.runs += 1;
        }
        running += 1;
        runs.push({ id: requestId, atMs: performance.now(), adapter });
        const head = { "Request-Id": requestId, "Response-Seal": randomUUID(), "Server-Load": `${running},0,${slots}` };
        if (adapter === undefined) {
            await new Promise(resolve => setTimeout(resolve, workMs));
            res.writeHead(200, head).end(`${id} ${requestId}`);
            running -= 1;
            return;
        }
        const events = Number((req.headers["token-count"] ?? "").split(",")[1] ?? 1);
        res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        for (let at = Number(req.headers["last-event-id"] ?? 0) + 1; at <= events && !res.destroyed; at += 1) {
            await new Promise(resolve => setTimeout(resolve, EVENT_MS));
            res.write(`id: ${at}\ndata: ${at}/${events}\n\n`);
        }
        res.end();
        running -= 1;
        if (held !== undefined) {
            held.runs -= 1;
            if (held.isLeaving && held.runs === 0) {
                residents.delete(adapter);
            }
        }
    };
    const server = createServer((req, res) => {
        void (async () => {
            if (req.url === "/fulmarcleat/order") {
                const atMs = performance.now();
                const body = JSON.parse((await readBody(req)).toString());
                const status = req.headers["expect-instance"] === id ? order(body) : 421;
                orders.push({ atMs, holder: body.holder, fence: body.fencingToken, operation: body.operation,
                    adapter: body.adapter, precondition: body.precondition, status });
                res.writeHead(status, { "Content-Type": "application/json" }).end("{}");
            }
            else if (req.url === "/fulmarcleat/report") {
                const report = { stage: "both", models: models(), coming: list(false).map(text => `${MODEL}/${text}`), busy: false,
                    seq, waiting: 0, running, kvUsed: 0, kvTotal: 200_000, handles: 0 };
                res.writeHead(200, { "Content-Type": "application/json", "Instance-Id": id }).end(JSON.stringify(report));
            }
            else {
                await serve(req, res);
            }
        })().catch(() => res.destroy());
    });
    const port = await listen(server);
    const born = Date.now();
    const beat = () =>
        store.put(`servers/${id}`, { service, address: `${LOOPBACK}:${port}`, zone, version, slots, state: "ready",
            coldLeftMs: 0, seq, born, models: models() });
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    return {
        id, port, orders, runs, overloads,
        close() {
            clearInterval(timer);
            server.closeAllConnections();
            server.close();
        },
    };
}
