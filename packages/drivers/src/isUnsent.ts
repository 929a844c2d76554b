const UNSENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Tells whether an HTTP error arose before anything was sent.
 *
 * @param err - What the client threw
 * @returns whether no connection was opened
 *
 * @example
 * const outcome = isUnsent(err) ? "not_run" : "unknown";
 */
export function isUnsent(err: unknown): boolean {
    return err instanceof Error && "code" in err && UNSENT_CODES.has(String(err.code));
}
