import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import { isUnsent } from "./isUnsent.js";

/** One JSON call over HTTP. */
export interface JsonCall<T> {
    readonly dispatcher: Dispatcher;
    readonly origin: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    /** Statuses whose body is read by `schema`. */
    readonly accept: readonly number[];
    readonly schema: z.ZodType<T>;
    readonly step: string;
    readonly code: ErrorCode;
    readonly signal?: AbortSignal;
}

/** A checked answer. */
export interface JsonAnswer<T> {
    readonly status: number;
    readonly body: T;
}

/**
 * Calls a JSON endpoint and checks the answer.
 *
 * @param call - The call
 * @returns the answer's status and checked body
 * @throws ServeError with outcome `not_run` where no connection could be opened, else `unknown`
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
            throw new ServeError(`status ${res.statusCode}`, { ...details, outcome: "unknown" });
        }
        return { status: res.statusCode, body: call.schema.parse(await res.body.json()) };
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
