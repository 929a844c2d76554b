import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import { collectBody } from "@fulmarcleat/http";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import { isUnsent } from "./isUnsent.js";

/** Largest body of a reply, in bytes. */
const MAX_REPLY_BYTES = 4_194_304;

/** One HTTP request with a JSON reply. */
export interface JsonCall<T> {
    readonly dispatcher: Dispatcher;
    /** Scheme, host and port of the server; also named as `peer` in errors. */
    readonly origin: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    /** Statuses whose body is parsed by `schema`; any other status is an error. */
    readonly accept: readonly number[];
    readonly schema: z.ZodType<T>;
    /** `step` of the errors thrown. */
    readonly step: string;
    /** `code` of the errors thrown. */
    readonly code: ErrorCode;
    readonly signal?: AbortSignal;
}

/** Status and validated body of a reply. */
export interface JsonAnswer<T> {
    readonly status: number;
    readonly body: T;
}

/**
 * Sends a request to a JSON endpoint and validates the reply.
 *
 * @param call - Request, schema of the reply and details for errors
 * @returns the reply's status and validated body
 * @throws ServeError with outcome `not_run` if no connection could be opened, else `unknown`
 *
 * @example
 * const { body } = await callJson({ dispatcher, origin, method: "GET", path: "/load", ... });
 */
export async function callJson<T>(call: JsonCall<T>): Promise<JsonAnswer<T>> {
    const details = { code: call.code, step: call.step, peer: call.origin } as const;
    try {
        const res = await call.dispatcher.request({
            origin: call.origin,
            method: call.method,
            path: call.path,
            headers: { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal: call.signal,
        });
        if (!call.accept.includes(res.statusCode)) {
            await res.body.dump();
            throw new ServeError(`unexpected status ${res.statusCode}`, { ...details, outcome: "unknown" });
        }
        const text = (await collectBody(res.body, MAX_REPLY_BYTES)).toString("utf8");
        return { status: res.statusCode, body: call.schema.parse(JSON.parse(text)) };
    }
    catch (cause) {
        if (cause instanceof ServeError) {
            throw cause;
        }
        throw new ServeError(`${call.step} failed`, {
            ...details,
            outcome: isUnsent(cause) ? "not_run" : "unknown",
            cause,
        });
    }
}
