import type { ServeError } from "@fulmarcleat/errors";
import { toErrorBody, toErrorStatus } from "@fulmarcleat/errors";
import type { ServerResponse } from "node:http";

const MS_PER_SECOND = 1000;

/**
 * Sends an error answer; a stream that has begun ends with an error event and without its end mark.
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
        return;
    }
    const retry = err.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND))) };
    res.writeHead(toErrorStatus(err.code), {
        "content-type": "application/json",
        "fulmarcleat-outcome": err.outcome,
        ...retry,
    });
    res.end(body);
}
