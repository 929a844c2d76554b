import type { ServerResponse } from "node:http";

/**
 * Sends a JSON answer.
 *
 * @param res - The response
 * @param status - HTTP status
 * @param body - What to send
 * @param headers - Further headers
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
