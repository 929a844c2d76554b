// A client of the system: one channel for each attempt.
import { request } from "node:http";

/**
 * Sends one attempt and reads its answer to the end.
 *
 * @param front - Process that gets it
 * @param attempt - id, method, path, host, headers, body, deadlineMs
 * @returns status, headers, body text, whether the answer was whole, and when its pieces came
 */
export function send(front, { id, method = "POST", path, host, headers = {}, body, deadlineMs, agent, onPiece }) {
    return new Promise(resolve => {
        const startedMs = performance.now();
        const answer = { id, status: undefined, headers: {}, text: "", isWhole: false, error: undefined, startedMs, endedMs: 0 };
        let isOver = false;
        const finish = () => {
            if (!isOver) {
                isOver = true;
                clearTimeout(timer);
                answer.endedMs = performance.now();
                resolve(answer);
            }
        };
        const req = request({
            host: front.ip,
            port: front.front,
            method,
            path,
            agent: agent ?? false,
            headers: {
                "Host": host,
                "Request-Id": id,
                ...deadlineMs === undefined ? {} : { "Deadline-Ms": String(deadlineMs) },
                ...headers,
                ...body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) },
            },
        });
        const timer = setTimeout(() => {
            answer.error = "time budget";
            req.destroy();
            finish();
        }, (deadlineMs ?? 15_000) + 500);
        req.on("response", res => {
            answer.status = res.statusCode;
            answer.headers = res.headers;
            res.on("data", chunk => {
                answer.text += chunk.toString("utf8");
                onPiece?.(answer);
            });
            res.on("end", () => {
                answer.isWhole = res.complete;
                finish();
            });
            res.on("error", err => {
                answer.error = err.code ?? err.message;
                finish();
            });
            res.on("close", finish);
        });
        req.on("error", err => {
            answer.error ??= err.code ?? err.message;
            finish();
        });
        req.end(body);
    });
}

/**
 * Lists the ids of the events of a stream.
 *
 * @param text - What a client has received
 * @returns the ids of its whole events
 */
export function listEventIds(text) {
    return text.split("\n\n").slice(0, -1).map(event => Number(/^id: (\d+)$/m.exec(event)?.[1]));
}
