import type { ServeErrorDetails } from "./serveError.js";
import { ServeError } from "./serveError.js";

/**
 * Turns whatever was thrown into an error with a step and a peer.
 *
 * @param err - What was thrown
 * @param fallback - Details for an error that carries none
 * @returns the error itself where it is a ServeError, else a new one
 *
 * @example
 * throw toServeError(err, { code: "internal", step: "route", peer: "self", outcome: "unknown" });
 */
export function toServeError(err: unknown, fallback: ServeErrorDetails): ServeError {
    if (err instanceof ServeError) {
        return err;
    }
    const message = err instanceof Error ? err.message : String(err);
    return new ServeError(message, { ...fallback, cause: err });
}
