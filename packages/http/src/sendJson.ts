import type { ServerResponse } from "node:http";

/**
 * Sends a JSON response; does nothing if the response was already sent or its connection is closed.
 *
 * @param res - Response to the request
 * @param status - HTTP status code
 * @param body - Value to serialize as JSON
 * @param headers - Headers in addition to `content-type`
 * @returns nothing
 *
 * @example
 * sendJson(res, 200, resource, { etag: "7" });
 */
export function sendJson(
    res: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    if (res.destroyed || res.writableEnded || res.headersSent) {
        return;
    }
    res.writeHead(status, { "content-type": "application/json", ...headers });
    res.end(JSON.stringify(body));
}
