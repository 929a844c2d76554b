import { createServer } from "node:http";

/** Interval at which an engine writes its entry, as in the deployment's settings, in milliseconds. */
const HEARTBEAT_MS = 1200;

/**
 * Starts a stand-in of a model engine that holds its base model. It writes its entry to the store, answers reports and
 * orders, and calls `answer(req, res, requestId)` for each request that is meant for it.
 */
export async function startModelEngine({ id, service, zone, store, model, runs, version = "v1", slots = 64, answer }) {
    let timer;
    let isClosed = false;
    const born = Date.now();
    const models = [{ name: model, version: 1, adapters: [] }];
    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            if (req.url === "/fulmarcleat/report") {
                const report = { stage: "both", models, coming: [], busy: false, seq: 0, running: 0, waiting: 0 };
                res.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
                return;
            }
            if (req.headers["expect-instance"] !== id) {
                res.writeHead(421, { "Not-Executed": "1", "Instance-Id": id, "Content-Length": "0" }).end();
                return;
            }
            if (req.url === "/fulmarcleat/order") {
                res.writeHead(400).end();
                return;
            }
            const requestId = req.headers["request-id"];
            runs.push({ requestId, engine: id, version, atMs: performance.now() });
            answer(req, res, requestId);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    const writeEntry = () => {
        const state = { state: "ready", coldLeftMs: 0, stage: "both", models, seq: 0, born };
        store.put(`servers/${id}`, { service, address, zone, version, slots, ...state });
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
