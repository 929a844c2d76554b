// Clients that keep their channels open, one request at a time on each.
import { buildClientHeaders } from "@fulmarcleat/platform-standin";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";

const LOOPBACK = "127.0.0.1";

/** Creates a client with one kept channel. */
export function createClient(readPort, hostName) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return {
        /** Sends a request; resolves to how it ended. */
        send({ method = "GET", path, deadlineMs, generation, body = "", headers = {}, signal }) {
            const id = randomBytes(8).toString("hex");
            const sentMs = performance.now();
            const result = { id, path, sentMs, status: undefined, seal: undefined, text: "", isComplete: false, error: undefined,
                isKept: false };
            return new Promise(resolve => {
                const finish = () => resolve({ ...result, tookMs: performance.now() - sentMs });
                const req = request({
                    agent, host: LOOPBACK, port: readPort(), method, path,
                    headers: { ...buildClientHeaders({ id, hostName, deadlineMs, generation }),
                        ...(body === "" ? {} : { "Content-Length": Buffer.byteLength(body) }), ...headers },
                });
                // The client allows its time budget, and half a second for the answer to arrive.
                const timer = setTimeout(() => req.destroy(new Error("no answer in time")), deadlineMs + 500);
                req.on("socket", () => void (result.isKept = req.reusedSocket));
                req.on("response", res => {
                    result.status = res.statusCode;
                    result.seal = res.headers["response-seal"];
                    res.on("data", bytes => result.text.length < 100_000 && (result.text += bytes));
                    res.on("end", () => void (result.isComplete = res.complete));
                    res.on("error", err => void (result.error ??= err.message));
                    res.on("close", () => {
                        clearTimeout(timer);
                        finish();
                    });
                });
                req.on("error", err => {
                    clearTimeout(timer);
                    result.error ??= err.code === undefined ? err.message : `${err.code} ${err.message}`;
                    if (result.status === undefined) {
                        finish();
                    }
                });
                signal?.addEventListener("abort", () => req.destroy(new Error("the client closes its channel")), { once: true });
                req.end(body);
            });
        },
        close: () => agent.destroy(),
    };
}
