import { createServer } from "node:http";

/** Interval at which an engine writes its entry, as in the deployment's settings, in milliseconds. */
const HEARTBEAT_MS = 1200;
const WORK_MS = 20;

/**
 * Starts a stand-in of an engine of a plain service. It writes its entry to the store, checks that a request is meant
 * for it, runs it and answers with its seal. `runs` lists what it ran.
 */
export async function startPlainEngine({ id, service, zone, store, runs, slots = 6, answer }) {
    let timer;
    let isClosed = false;
    const born = Date.now();
    const server = createServer((req, res) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => {
            const requestId = req.headers["request-id"];
            if (req.headers["expect-instance"] !== id) {
                res.writeHead(421, { "Not-Executed": "1", "Instance-Id": id, "Content-Length": "0" }).end();
                return;
            }
            if (req.url === "/fulmarcleat/report" || requestId === undefined) {
                const status = requestId === undefined && req.url !== "/fulmarcleat/report" ? 400 : 404;
                res.writeHead(status, { "Not-Executed": "1", "Content-Length": "0" }).end();
                return;
            }
            const body = Buffer.concat(chunks);
            const run = { requestId, engine: id, service, method: req.method, path: req.url, atMs: performance.now() };
            runs.push(run);
            const finish = answer ?? ((done, text) => {
                done.writeHead(200, {
                    "Request-Id": requestId,
                    "Response-Seal": `${id}.${requestId}`,
                    "Content-Length": String(Buffer.byteLength(text)),
                });
                done.end(text);
            });
            setTimeout(() => finish(res, `${requestId}:${body.length}`, run), WORK_MS);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    const writeEntry = () => {
        store.put(`servers/${id}`, {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            coldLeftMs: 0,
            seq: 0,
            born,
        });
    };
    const beat = () => {
        if (!isClosed) {
            writeEntry();
            timer = setTimeout(beat, HEARTBEAT_MS);
        }
    };
    beat();
    store.onReturn(() => !isClosed && writeEntry());
    return {
        id,
        address,
        close() {
            isClosed = true;
            clearTimeout(timer);
            server.closeAllConnections();
            server.close();
        },
    };
}
