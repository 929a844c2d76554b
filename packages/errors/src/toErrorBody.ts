import type { Outcome } from "./outcome.js";
import type { ServeError } from "./serveError.js";

/** JSON body of an error response. */
export interface ErrorBody {
    readonly error: {
        readonly code: string;
        readonly type: string;
        readonly message: string;
        readonly step: string;
        readonly peer: string;
        readonly outcome: Outcome;
        readonly request_id: string;
        readonly retry_after_seconds?: number;
    };
}

const MS_PER_SECOND = 1000;

/**
 * Builds the JSON body of an error response.
 *
 * @param err - Error to report
 * @param requestId - Id of the failed request
 * @returns the body; the retry delay is rounded up to whole seconds, at least 1
 *
 * @example
 * res.end(JSON.stringify(toErrorBody(err, requestId)));
 */
export function toErrorBody(err: ServeError, requestId: string): ErrorBody {
    const retry = err.retryAfterMs === undefined
        ? {}
        : { retry_after_seconds: Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND)) };
    return {
        error: {
            code: err.code,
            type: err.code,
            message: err.message,
            step: err.step,
            peer: err.peer,
            outcome: err.outcome,
            request_id: requestId,
            ...retry,
        },
    };
}
