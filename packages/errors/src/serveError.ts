import ModernError from "modern-errors";
import type { ErrorCode } from "./errorCode.js";
import type { Outcome } from "./outcome.js";

/** Code and origin of an error, and the outcome of the request. */
export interface ServeErrorDetails {
    /** Stable code, from which the HTTP status follows. */
    readonly code: ErrorCode;
    /** Processing step that failed, such as `load adapter`. */
    readonly step: string;
    /** Peer that was involved, such as an engine's id; `self` if none was. */
    readonly peer: string;
    /** Whether the request ran, as far as is known. */
    readonly outcome: Outcome;
    /** Delay after which the caller should retry, in milliseconds. */
    readonly retryAfterMs?: number;
    readonly cause?: unknown;
}

class ServeErrorBase extends ModernError {
    readonly code: ErrorCode;
    readonly step: string;
    readonly peer: string;
    readonly outcome: Outcome;
    readonly retryAfterMs: number | undefined;

    constructor(message: string, options?: object) {
        const details = options as ServeErrorDetails;
        super(message);
        this.code = details.code;
        this.step = details.step;
        this.peer = details.peer;
        this.outcome = details.outcome;
        this.retryAfterMs = details.retryAfterMs;
        // Set here because modern-errors would merge the message and fields of a cause option into this error.
        Object.defineProperty(this, "cause", { value: details.cause, configurable: true, writable: true });
    }
}

/** An error with a code, the step that failed, the peer involved and the outcome of the request. */
export interface ServeError extends ServeErrorBase {
    readonly code: ErrorCode;
}

/** Error class whose instances carry the fields of `ServeErrorDetails`. */
export const ServeError = ModernError.subclass("ServeError", { custom: ServeErrorBase }) as unknown as new(
    message: string,
    details: ServeErrorDetails,
) => ServeError;
