import type { ErrorCode } from "./errorCode.js";

/** HTTP status of each error code. */
export const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
    bad_request: 400,
    body_too_large: 413,
    body_timeout: 408,
    headers_too_large: 431,
    headers_timeout: 408,
    unsupported_encoding: 415,
    method_not_allowed: 405,
    caller_gone: 499,
    unauthenticated: 401,
    forbidden: 403,
    not_found: 404,
    unknown_adapter: 404,
    not_offered: 403,
    unknown_service: 404,
    key_required: 400,
    key_reused: 422,
    key_spent: 409,
    key_in_progress: 409,
    conflict: 409,
    too_old: 410,
    queue_full: 429,
    caller_limit: 429,
    deadline_unreachable: 503,
    deadline_passed: 504,
    no_upstream: 503,
    no_owner: 503,
    load_failed: 503,
    load_backoff: 503,
    upstream_refused: 503,
    upstream_failed: 502,
    upstream_silent: 504,
    stream_broken: 502,
    adapter_mismatch: 502,
    kv_unavailable: 503,
    kv_unknown: 503,
    peer_failed: 503,
    not_ready: 503,
    stopping: 503,
    settings_invalid: 400,
    frame_invalid: 400,
    internal: 500,
};

/**
 * Maps an error code to its HTTP status.
 *
 * @param code - Code of the error
 * @returns the HTTP status
 *
 * @example
 * toErrorStatus("queue_full"); // 429
 */
export function toErrorStatus(code: ErrorCode): number {
    return STATUS_BY_CODE[code];
}
