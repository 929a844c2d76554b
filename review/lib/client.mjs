import { randomBytes } from "node:crypto";
import { request } from "node:http";

/** Returns the id of a client attempt. */
export const createRequestId = () => randomBytes(8).toString("hex");

/** Sends a request as a client does and reads the whole answer; errors end in the returned answer. */
export function sendRequest({ port, method, path, hostName, requestId, deadlineMs, headers = {}, body = "", agent }) {
    const sentMs = performance.now();
    return new Promise(resolve => {
        let status = 0;
        let seal;
        const chunks = [];
        const finish = isComplete =>
            resolve({
                requestId,
                sentMs,
                endedMs: performance.now(),
                status,
                seal,
                isComplete,
                text: Buffer.concat(chunks).toString("utf8"),
            });
        const req = request({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent,
            headers: { "Host": hostName, "Request-Id": requestId, "Deadline-Ms": String(deadlineMs), ...headers },
            timeout: deadlineMs + 500,
        }, res => {
            status = res.statusCode;
            seal = res.headers["response-seal"];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => undefined);
            res.on("close", () => finish(res.complete));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => finish(false));
        req.end(body);
    });
}
