// A small stand-in of a model engine, or of an engine of a plain service, as PROTOCOL.md tells it.
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import { readBody, sendJson, sleep } from "./http.mjs";

const HEARTBEAT_MS = 1200;
const LOAD_MS = 250;
const MAX_COMING = 4;

/**
 * Starts an engine and registers it in the store.
 *
 * @param options - id, service, zone, store, slots, version (of its software), eventMs, workMs, and for model engines
 *     model, adapterSlots and adapters (names and versions that it holds at its start)
 * @returns the engine, with all that it was asked in `arrivals` and all that it began to run in `runs`
 */
export async function startEngine(options) {
    const { id, service, zone, store, slots = 64, version = "v1", eventMs = 25, workMs = 20, model } = options;
    const born = Date.now();
    const residents = new Map();
    const arrivals = [];
    const runs = [];
    const orders = [];
    const sockets = new Set();
    let seq = 0;
    let highestFence = 0;
    let running = 0;
    let isDown = false;
    let port = 0;

    for (const [name, adapterVersion] of options.adapters ?? []) {
        residents.set(name, { version: adapterVersion, readyAtMs: 0, runs: 0, next: undefined, isLeaving: false });
    }
    const isPresent = resident => resident.readyAtMs <= performance.now();
    const describeModels = () =>
        model === undefined ? [] : [{
            name: model,
            version: 1,
            adapters: [...residents].filter(([, held]) => isPresent(held)).map(([name, held]) => `${name}@${held.version}`),
        }];
    const listComing = () => [...residents].filter(([, held]) => !isPresent(held)).map(([name, held]) => `${model}/${name}@${held.version}`);
    const register = () =>
        store.put(`servers/${id}`, {
            service,
            address: `127.0.0.1:${port}`,
            zone,
            version,
            slots,
            state: options.state?.() ?? "ready",
            coldLeftMs: 0,
            seq,
            born,
            stage: "both",
            models: describeModels(),
        });
    const newestVersion = adapter => store.read(`op/version/${model}.${adapter}`)?.version ?? 1;
    const load = (adapter, wanted = newestVersion(adapter)) => {
        const held = residents.get(adapter);
        if (held !== undefined && held.version === wanted && !held.isLeaving) {
            return 200;
        }
        if (held === undefined && residents.size >= options.adapterSlots || listComing().length >= MAX_COMING) {
            return 409;
        }
        if (held !== undefined && held.runs > 0) {
            // A replacement waits for its runs.
            held.next = wanted;
            return 202;
        }
        residents.set(adapter, { version: wanted, readyAtMs: performance.now() + LOAD_MS, runs: 0, next: undefined, isLeaving: false });
        return 202;
    };
    const unload = adapter => {
        const held = residents.get(adapter);
        if (held === undefined || held.runs === 0) {
            residents.delete(adapter);
            return 200;
        }
        held.isLeaving = true;
        return 202;
    };
    const order = body => {
        const { operation, holder, fencingToken, precondition, adapter } = body;
        orders.push({ atMs: performance.now(), ...body });
        if (holder === undefined || fencingToken === undefined || body.model !== model || adapter === undefined) {
            return 400;
        }
        if (fencingToken < highestFence) {
            return 412;
        }
        highestFence = fencingToken;
        if (precondition !== undefined && precondition !== seq) {
            return 409;
        }
        const status = operation === "unload" ? unload(adapter) : load(adapter, body.version);
        if (status < 300) {
            seq += 1;
            register();
        }
        return status;
    };
    const finishRun = (adapter, held) => {
        held.runs -= 1;
        if (held.runs > 0) {
            return;
        }
        if (held.isLeaving) {
            residents.delete(adapter);
        }
        else if (held.next !== undefined) {
            residents.set(adapter, { version: held.next, readyAtMs: performance.now() + LOAD_MS, runs: 0, next: undefined, isLeaving: false });
        }
    };
    const refuse = (req, res, status) => {
        res.writeHead(status, {
            "Request-Id": req.headers["request-id"] ?? "",
            "Not-Executed": "1",
            "Instance-Id": id,
            "Content-Length": 0,
        });
        res.end();
    };
    const serve = async (req, res) => {
        const body = await readBody(req);
        const { headers } = req;
        const requestId = headers["request-id"];
        arrivals.push({ id: requestId, atMs: performance.now(), expects: headers["expect-version"] });
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            refuse(req, res, 421);
            return;
        }
        const adapter = headers.model?.split("/")[1];
        const held = adapter === undefined ? undefined : residents.get(adapter);
        if (model !== undefined && adapter !== undefined) {
            const isOther = headers["expect-version"] !== undefined && Number(headers["expect-version"]) !== held?.version;
            if (held === undefined || !isPresent(held) || isOther) {
                refuse(req, res, 421);
                return;
            }
            if (held.isLeaving || held.next !== undefined) {
                refuse(req, res, 503);
                return;
            }
        }
        const run = {
            id: requestId,
            engine: id,
            path: req.url,
            method: req.method,
            bytes: body.length,
            adapter,
            version: held?.version,
            after: headers["last-event-id"],
            atMs: performance.now(),
            events: 0,
            end: "open",
        };
        runs.push(run);
        running += 1;
        if (held !== undefined) {
            held.runs += 1;
        }
        try {
            await answer(req, res, run, body);
        }
        finally {
            running -= 1;
            if (held !== undefined) {
                finishRun(adapter, held);
            }
        }
    };
    const answer = async (req, res, run, body) => {
        const head = {
            "Request-Id": run.id ?? "",
            "Response-Seal": randomUUID(),
            "Server-Load": `${running},0,${slots}`,
            ...options.headers?.(),
        };
        if (model === undefined) {
            await sleep(workMs);
            run.end = res.destroyed ? "left" : "whole";
            const text = `${run.id} ${body.length}`;
            res.writeHead(200, { ...head, "Content-Length": Buffer.byteLength(text) });
            res.end(text);
            return;
        }
        const most = Number((req.headers["token-count"] ?? "").split(",")[1] ?? 4);
        const last = Math.ceil(most / 4);
        res.writeHead(200, { ...head, "Content-Type": "text/event-stream", "Weight-Versions": String(run.version ?? 1) });
        res.flushHeaders();
        for (let event = Number(run.after ?? 0) + 1; event <= last; event += 1) {
            await sleep(eventMs);
            if (res.destroyed) {
                run.end = "left";
                return;
            }
            await options.beforeEvent?.(event, run);
            res.write(`id: ${event}\ndata: ${run.id} ${event}/${last} ${version}\n\n`);
            run.events += 1;
        }
        run.end = "whole";
        res.end();
    };
    const server = createServer((req, res) => {
        const handle = async () => {
            if (req.url === "/fulmarcleat/order") {
                const body = JSON.parse((await readBody(req)).toString("utf8"));
                sendJson(res, order(body), {});
            }
            else if (req.url === "/fulmarcleat/report") {
                sendJson(res, 200, {
                    stage: "both",
                    models: describeModels(),
                    coming: listComing(),
                    busy: false,
                    seq,
                    waiting: 0,
                    running,
                    kvUsed: 0,
                    kvTotal: 265_376,
                    handles: 0,
                    born,
                });
            }
            else if (req.url === "/health") {
                res.writeHead(200, { "Instance-Id": id, "Server-Load": `${running},0,${slots}` }).end();
            }
            else {
                await serve(req, res);
            }
        };
        if (options.intercept?.(req, res) !== true) {
            handle().catch(() => res.destroy());
        }
    });
    server.keepAliveTimeout = 20_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => void server.listen(0, "127.0.0.1", resolve));
    ({ port } = server.address());
    register();
    const heartbeat = setInterval(register, HEARTBEAT_MS);
    return {
        id,
        runs,
        orders,
        arrivals,
        get port() {
            return port;
        },
        get running() {
            return running;
        },
        /** Ends the engine as a crash does: its channels are reset and its port has no listener. */
        crash() {
            if (!isDown) {
                isDown = true;
                clearInterval(heartbeat);
                server.close();
                sockets.forEach(socket => socket.resetAndDestroy());
                runs.filter(run => run.end === "open").forEach(run => void (run.end = "crashed"));
            }
        },
        register,
    };
}
