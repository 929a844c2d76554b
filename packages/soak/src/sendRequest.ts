import { buildClientHeaders, SEAL_HEADER } from "@fulmarcleat/platform-standin";
import type { StandinRequest } from "@fulmarcleat/platform-standin";
import { request as requestHttp } from "node:http";
import type { Agent } from "node:http";

/** What the soak's clients ask for. */
export interface SoakRequest extends StandinRequest {
    readonly kind: "safe" | "unsafe" | "streaming";
    readonly path: string;
    readonly body: string;
    /** Version that was confirmed long before the request; an older one must not run it. */
    readonly leastVersion: number;
}

/** What a client saw of its request. */
export interface SoakAnswer {
    readonly req: SoakRequest;
    readonly host: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** HTTP status; 0 where the connection ended without an answer. */
    readonly status: number;
    readonly isWhole: boolean;
    readonly hasSeal: boolean;
    readonly text: string;
}

/** How much longer than its time a client waits before it gives up, in milliseconds. */
const PATIENCE_MS = 3000;

/**
 * Sends a request as a client does, and takes in all of the answer.
 *
 * @param req - The request
 * @param target - The host and where it listens
 * @param agent - Keeps connections
 * @returns what the client saw
 *
 * @example
 * const answer = await sendRequest(req, { host: "front-1", ip: "127.0.0.2", port }, agent);
 */
export function sendRequest(
    req: SoakRequest,
    target: { readonly host: string; readonly ip: string; readonly port: number },
    agent: Agent,
): Promise<SoakAnswer> {
    const sentAtMs = performance.now();
    return new Promise(resolve => {
        let status = 0;
        let hasSeal = false;
        let text = "";
        const finish = (isWhole: boolean): void =>
            resolve({
                req,
                host: target.host,
                sentAtMs,
                endedAtMs: performance.now(),
                status,
                isWhole,
                hasSeal,
                text,
            });
        const outgoing = requestHttp({
            agent,
            host: target.ip,
            port: target.port,
            method: req.kind === "unsafe" ? "POST" : "GET",
            path: req.path,
            headers: buildClientHeaders(req),
            timeout: req.deadlineMs + PATIENCE_MS,
        }, res => {
            status = res.statusCode ?? 0;
            hasSeal = res.headers[SEAL_HEADER] !== undefined;
            res.setEncoding("utf8");
            res.on("data", (chunk: string) => {
                text += chunk;
            });
            res.on("error", () => undefined);
            res.on("close", () => finish(res.complete));
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => finish(false));
        outgoing.end(req.kind === "unsafe" ? req.body : undefined);
    });
}
