import type { ServeErrorDetails } from "./serveError.js";
import { ServeError } from "./serveError.js";

/**
 * Converts a thrown value to a ServeError.
 *
 * @param err - Thrown value
 * @param fallback - Details to use if `err` is not a ServeError
 * @returns `err` itself if it is a ServeError, else a new one with `err` as its cause
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
