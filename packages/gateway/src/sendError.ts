import type { ServeError } from "@fulmarcleat/errors";
import { toErrorBody, toErrorStatus } from "@fulmarcleat/errors";
import type { IncomingMessage, ServerResponse } from "node:http";

const MS_PER_SECOND = 1000;
/** Maximum time that a connection stays open to receive the rest of a body or deliver an error, in milliseconds. */
const LINGER_MS = 1000;

/**
 * Sends an error response; a stream that has started ends with an error event and without its end mark.
 *
 * If part of the request's body has not arrived yet, the connection closes after the response.
 *
 * @param res - Response to the failed request; ignored if it has already ended
 * @param err - Failure with code, outcome and an optional retry delay
 * @param requestId - Request id for the error body
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
        destroyAfterLinger(res);
        return;
    }
    const isBodyIncomplete = hasUnreadBody(res.req);
    res.writeHead(toErrorStatus(err.code), {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        "fulmarcleat-outcome": err.outcome,
        ...(err.retryAfterMs === undefined
            ? {}
            : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND))) }),
        ...(isBodyIncomplete || err.code === "stopping" ? { connection: "close" } : {}),
    });
    if (!isBodyIncomplete) {
        res.end(body);
        return;
    }
    res.write(body);
    endAfterRequestBody(res);
}

function hasUnreadBody(req: IncomingMessage): boolean {
    const { "content-length": length = "0", "transfer-encoding": encoding } = req.headers;
    return !req.complete && (length !== "0" || encoding !== undefined);
}

/** Discards the rest of the body before closing: an earlier close could reset the connection and lose the response. */
function endAfterRequestBody(res: ServerResponse): void {
    const timer = setTimeout(() => res.end(), LINGER_MS);
    res.req.on("end", () => res.end());
    res.on("close", () => clearTimeout(timer));
    res.req.resume();
}

function destroyAfterLinger(res: ServerResponse): void {
    const timer = setTimeout(() => res.destroy(), LINGER_MS);
    res.on("close", () => clearTimeout(timer));
}
