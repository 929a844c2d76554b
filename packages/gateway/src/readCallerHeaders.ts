import { ServeError } from "@fulmarcleat/errors";
import { prioritySchema } from "@fulmarcleat/resources";
import type { Priority } from "@fulmarcleat/resources";
import type { IncomingHttpHeaders } from "node:http";

/** Names of the headers that callers may set. */
const CALLER_HEADERS = {
    deadline: "fulmarcleat-deadline-ms",
    priority: "fulmarcleat-priority",
    repeatable: "fulmarcleat-repeatable",
    key: "idempotency-key",
} as const;

/** What a caller's headers ask for. */
export interface CallerHeaders {
    /** Time until the answer must be whole, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly priority: Priority | undefined;
    /** Key of a request that may run at most once. */
    readonly key: string | undefined;
}

const MAX_DEADLINE_MS = 3_600_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/**
 * Reads and checks the headers that callers may set.
 *
 * @param headers - The request's headers
 * @returns what they ask for
 * @throws ServeError `bad_request`, or `key_required` for a non-repeatable request without a key
 *
 * @example
 * const { deadlineMs } = readCallerHeaders(req.headers);
 */
export function readCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders {
    const key = readKey(headers[CALLER_HEADERS.key]);
    const repeatable = headers[CALLER_HEADERS.repeatable];
    if (repeatable !== undefined && repeatable !== "true" && repeatable !== "false") {
        throw createError(`${CALLER_HEADERS.repeatable} must be true or false`);
    }
    if (repeatable === "false" && key === undefined) {
        throw new ServeError("a non-repeatable request needs an Idempotency-Key", { ...DETAILS, code: "key_required" });
    }
    return {
        deadlineMs: readDeadline(headers[CALLER_HEADERS.deadline]),
        priority: readPriority(headers[CALLER_HEADERS.priority]),
        key,
    };
}

const DETAILS = { step: "read headers", peer: "caller", outcome: "not_run" } as const;

function readKey(value: string | string[] | undefined): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value !== "string" || !KEY_PATTERN.test(value)) {
        throw createError("idempotency-key must be 1 to 255 visible ASCII characters");
    }
    return value;
}

function readDeadline(value: string | string[] | undefined): number | undefined {
    if (value === undefined) {
        return undefined;
    }
    const ms = typeof value === "string" && /^\d{1,7}$/.test(value) ? Number(value) : 0;
    if (ms < 1 || ms > MAX_DEADLINE_MS) {
        throw createError(`${CALLER_HEADERS.deadline} must be a whole number from 1 to ${MAX_DEADLINE_MS}`);
    }
    return ms;
}

function readPriority(value: string | string[] | undefined): Priority | undefined {
    if (value === undefined) {
        return undefined;
    }
    const parsed = prioritySchema.safeParse(value);
    if (!parsed.success) {
        throw createError(`${CALLER_HEADERS.priority} must be urgent, normal or bulk`);
    }
    return parsed.data;
}

function createError(message: string): ServeError {
    return new ServeError(message, { ...DETAILS, code: "bad_request" });
}
