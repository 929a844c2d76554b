/** Codes of errors that arise before a connection is established. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Returns whether an HTTP request failed before anything was sent.
 *
 * @param err - Error that the HTTP client threw
 * @returns true if no connection could be opened
 *
 * @example
 * const outcome = isUnsent(err) ? "not_run" : "unknown";
 */
export function isUnsent(err: unknown): boolean {
    return err instanceof Error && "code" in err && UNSENT_CODES.has(String(err.code));
}
