import type { ServeError } from "@fulmarcleat/errors";
import { toErrorBody, toErrorStatus } from "@fulmarcleat/errors";
import type { IncomingMessage, ServerResponse } from "node:http";

const MS_PER_SECOND = 1000;
/** Longest time for which a connection stays open to take the rest of a refused body or to hand over an error. */
const LINGER_MS = 1000;

/**
 * Sends an error answer; a stream that has begun ends with an error event and without its end mark.
 *
 * Where part of the request's body is still to come, the connection closes after the answer.
 *
 * @param res - The response
 * @param err - The error
 * @param requestId - Id of the request
 * @returns nothing
 *
 * @example
 * sendError(res, err, requestId);
 */
export function sendError(res: ServerResponse, err: ServeError, requestId: string): void {
    if (res.destroyed || res.writableEnded) {
        return;
    }
    const body = JSON.stringify(toErrorBody(err, requestId));
    if (res.headersSent) {
        res.end(`data: ${body}\n\n`);
        destroyLater(res);
        return;
    }
    const isCut = hasUnreadBody(res.req);
    res.writeHead(toErrorStatus(err.code), {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        "fulmarcleat-outcome": err.outcome,
        ...(err.retryAfterMs === undefined
            ? {}
            : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND))) }),
        ...(isCut || err.code === "stopping" ? { connection: "close" } : {}),
    });
    if (!isCut) {
        res.end(body);
        return;
    }
    res.write(body);
    endAfterBody(res);
}

function hasUnreadBody(req: IncomingMessage): boolean {
    const { "content-length": length = "0", "transfer-encoding": encoding } = req.headers;
    return !req.complete && (length !== "0" || encoding !== undefined);
}

/** Takes the rest of the body without keeping it: closing before it has come could lose the answer on its way. */
function endAfterBody(res: ServerResponse): void {
    const timer = setTimeout(() => res.end(), LINGER_MS);
    res.req.on("end", () => res.end());
    res.on("close", () => clearTimeout(timer));
    res.req.resume();
}

function destroyLater(res: ServerResponse): void {
    const timer = setTimeout(() => res.destroy(), LINGER_MS);
    res.on("close", () => clearTimeout(timer));
}
