import { ServeError } from "@fulmarcleat/errors";
import { prioritySchema } from "@fulmarcleat/resources";
import type { Priority } from "@fulmarcleat/resources";
import type { IncomingHttpHeaders } from "node:http";

/** Names of the request headers that callers may set. */
const CALLER_HEADERS = {
    deadline: "fulmarcleat-deadline-ms",
    priority: "fulmarcleat-priority",
    repeatable: "fulmarcleat-repeatable",
    key: "idempotency-key",
} as const;

/** Validated values of a request's headers. */
export interface CallerHeaders {
    /** Time limit for the complete answer, in milliseconds from the request's arrival. */
    readonly deadlineMs: number | undefined;
    /** Requested priority class. */
    readonly priority: Priority | undefined;
    /** Idempotency key; a request with a key runs at most once. */
    readonly key: string | undefined;
}

/** Longest time limit that a caller may set, in milliseconds. */
const MAX_DEADLINE_MS = 3_600_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/**
 * Validates the request headers that callers may set.
 *
 * @param headers - Request headers with lower-case names
 * @returns their values, undefined where a header is absent
 * @throws ServeError `bad_request`, or `key_required` for a non-repeatable request without a key
 *
 * @example
 * const { deadlineMs } = readCallerHeaders(req.headers);
 */
export function readCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders {
    const key = readKey(headers[CALLER_HEADERS.key]);
    const repeatable = headers[CALLER_HEADERS.repeatable];
    if (repeatable !== undefined && repeatable !== "true" && repeatable !== "false") {
        throw createBadRequest(`${CALLER_HEADERS.repeatable} must be true or false`);
    }
    if (repeatable === "false" && key === undefined) {
        throw new ServeError("a non-repeatable request requires an Idempotency-Key header", {
            ...ERROR_DETAILS,
            code: "key_required",
        });
    }
    return {
        deadlineMs: readDeadline(headers[CALLER_HEADERS.deadline]),
        priority: readPriority(headers[CALLER_HEADERS.priority]),
        key,
    };
}

const ERROR_DETAILS = { step: "read headers", peer: "caller", outcome: "not_run" } as const;

function readKey(value: string | string[] | undefined): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value !== "string" || !KEY_PATTERN.test(value)) {
        throw createBadRequest("idempotency-key must be 1 to 255 visible ASCII characters");
    }
    return value;
}

function readDeadline(value: string | string[] | undefined): number | undefined {
    if (value === undefined) {
        return undefined;
    }
    const ms = typeof value === "string" && /^\d{1,7}$/.test(value) ? Number(value) : 0;
    if (ms < 1 || ms > MAX_DEADLINE_MS) {
        throw createBadRequest(`${CALLER_HEADERS.deadline} must be an integer from 1 to ${MAX_DEADLINE_MS}`);
    }
    return ms;
}

function readPriority(value: string | string[] | undefined): Priority | undefined {
    if (value === undefined) {
        return undefined;
    }
    const parsed = prioritySchema.safeParse(value);
    if (!parsed.success) {
        throw createBadRequest(`${CALLER_HEADERS.priority} must be urgent, normal or bulk`);
    }
    return parsed.data;
}

function createBadRequest(message: string): ServeError {
    return new ServeError(message, { ...ERROR_DETAILS, code: "bad_request" });
}
