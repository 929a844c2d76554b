import { buildClientHeaders, SEAL_HEADER } from "@fulmarcleat/platform-standin";
import type { StandinRequest } from "@fulmarcleat/platform-standin";
import { request as requestHttp } from "node:http";
import type { Agent } from "node:http";

/** A request of a soak client. */
export interface SoakRequest extends StandinRequest {
    readonly kind: "safe" | "unsafe" | "streaming";
    readonly path: string;
    readonly body: string;
    /** Lowest adapter version that may run the request; it was in effect before the request was sent. */
    readonly minVersion: number;
    /** Whether its route needs no key; false by default. */
    readonly isAnonymous?: boolean | undefined;
    /** For how long hosts may have been without the newest configuration when the request was sent, in milliseconds. */
    readonly configAgeMs?: number | undefined;
}

/** What a client received for a request; times are in milliseconds of `performance.now()`. */
export interface SoakAnswer {
    readonly req: SoakRequest;
    readonly host: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** HTTP status; 0 where the connection ended without an answer. */
    readonly status: number;
    /** Whether the whole HTTP response arrived. */
    readonly isComplete: boolean;
    /** Whether the response carries the engine's signature, the header that proves which engine produced it. */
    readonly hasSignature: boolean;
    readonly text: string;
}

/** Time beyond the deadline of a request after which a client stops waiting, in milliseconds. */
const CLIENT_TIMEOUT_MARGIN_MS = 3000;

/**
 * Sends a request as a client does and reads the whole response.
 *
 * @param req - Request to send
 * @param target - Name, address and port of the host
 * @param agent - Connection pool of the client
 * @returns the answer; errors and timeouts are recorded in it and never thrown
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
        let hasSignature = false;
        let text = "";
        const finish = (isComplete: boolean): void =>
            resolve({
                req,
                host: target.host,
                sentAtMs,
                endedAtMs: performance.now(),
                status,
                isComplete,
                hasSignature,
                text,
            });
        const outgoing = requestHttp({
            agent,
            host: target.ip,
            port: target.port,
            method: req.kind === "unsafe" ? "POST" : "GET",
            path: req.path,
            headers: buildClientHeaders(req),
            timeout: req.deadlineMs + CLIENT_TIMEOUT_MARGIN_MS,
        }, res => {
            status = res.statusCode ?? 0;
            hasSignature = res.headers[SEAL_HEADER] !== undefined;
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
