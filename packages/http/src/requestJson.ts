import type { Dispatcher } from "undici";
import { collectBody } from "./collectBody.js";
import { isValidStatus } from "./isValidStatus.js";
import { parseJson } from "./parseJson.js";

/** An HTTP request whose response is expected to be JSON. */
export interface JsonRequest {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    /** Largest body of a response, in bytes; a larger one is not read on. */
    readonly maxBytes: number;
    /** Timeout for the whole response, in milliseconds; only for its head and each silence after it if `totalMs` is set. */
    readonly timeoutMs: number;
    /** Longest time for a response whose body keeps arriving, in milliseconds. */
    readonly totalMs?: number;
}

/** A response and its decoded body. */
export interface JsonResponse {
    readonly status: number;
    /** Values by lower-case names. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Undefined if the body is not JSON. */
    readonly body: unknown;
}

/**
 * Sends an HTTP request and decodes its JSON response; closes the connection when the timeout expires. A large body may
 * take longer than the timeout on a slow link, and would take as long at each new try.
 *
 * @param dispatcher - Connections to the server
 * @param req - Method, path, headers, body and bounds of the request
 * @returns the response's status, headers and body
 * @throws the connection's error, TimeoutError when the timeout expires, or BodyTooLargeError
 *
 * @example
 * const res = await requestJson(pool, { method: "GET", path: "/report", maxBytes: 65_536, timeoutMs: 500 });
 */
export async function requestJson(dispatcher: Pick<Dispatcher, "request">, req: JsonRequest): Promise<JsonResponse> {
    const hasBody = req.body !== undefined;
    const silence = new AbortController();
    const expire = (): void => silence.abort(new DOMException("no bytes in time", "TimeoutError"));
    const timer = setTimeout(expire, req.timeoutMs);
    const limit = AbortSignal.timeout(req.totalMs ?? req.timeoutMs);
    try {
        const { statusCode, headers, body } = await dispatcher.request({
            method: req.method,
            path: req.path,
            headers: { ...(hasBody ? { "content-type": "application/json" } : {}), ...req.headers },
            body: hasBody ? JSON.stringify(req.body) : null,
            signal: AbortSignal.any([silence.signal, limit]),
        } as Dispatcher.RequestOptions);
        if (!isValidStatus(statusCode)) {
            await body.dump();
            throw new Error(`invalid status ${statusCode}`);
        }
        const bytes = await collectBody(body, req.maxBytes, () => void timer.refresh());
        return { status: statusCode, headers, body: parseJson(bytes.toString("utf8")) };
    }
    finally {
        clearTimeout(timer);
    }
}
