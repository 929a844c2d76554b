import ModernError from "modern-errors";
import type { ErrorCode } from "./errorCode.js";
import type { Outcome } from "./outcome.js";

/** Where an error arose and what it means for the request. */
export interface ServeErrorDetails {
    /** Stable code. */
    readonly code: ErrorCode;
    /** The step at which it arose, such as `load adapter`. */
    readonly step: string;
    /** The peer that took part, such as an engine's id; `self` where none did. */
    readonly peer: string;
    /** Whether the request ran. */
    readonly outcome: Outcome;
    /** When to come back, in milliseconds. */
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
        // Set afterwards: modern-errors would merge the cause's message and fields into this error.
        Object.defineProperty(this, "cause", { value: details.cause, configurable: true, writable: true });
    }
}

/** An error that carries its step, its peer and the outcome of the request. */
export interface ServeError extends ServeErrorBase {
    readonly code: ErrorCode;
}

/** Creates errors that carry their step, their peer and the outcome of the request. */
export const ServeError = ModernError.subclass("ServeError", { custom: ServeErrorBase }) as unknown as new(
    message: string,
    details: ServeErrorDetails,
) => ServeError;
