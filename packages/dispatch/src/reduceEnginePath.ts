/** What one host sees of its network path to an engine. */
export interface EnginePath {
    /** Clock reading of the oldest request or probe that nothing has followed, in milliseconds; undefined if none. */
    readonly unansweredSinceMs: number | undefined;
    /** Clock reading of the first failed connection, in milliseconds; undefined if none. */
    readonly unreachableSinceMs: number | undefined;
    /** Clock reading of the first exchange that broke without a byte, in milliseconds; undefined if none. */
    readonly brokenSinceMs: number | undefined;
}

/** What happened on a path to an engine. */
export type EnginePathMessage =
    /** A request was sent. */
    | { readonly kind: "sent"; readonly atMs: number }
    /** Bytes arrived, or a probe showed that the path is open. */
    | { readonly kind: "heard" }
    /** No connection could be opened. */
    | { readonly kind: "unreachable"; readonly atMs: number }
    /** An exchange broke without a byte. */
    | { readonly kind: "broken"; readonly atMs: number }
    /** The last request in flight was withdrawn. */
    | { readonly kind: "withdrawn"; readonly atMs: number; readonly silentAfterMs: number };

/** Path on which nothing is missing. */
export const OPEN_PATH: EnginePath = {
    unansweredSinceMs: undefined,
    unreachableSinceMs: undefined,
    brokenSinceMs: undefined,
};

/**
 * Updates what a host sees of its path to an engine.
 *
 * @param path - The path so far
 * @param message - What happened
 * @returns the updated path
 *
 * @example
 * const next = reduceEnginePath(OPEN_PATH, { kind: "sent", atMs: clock.nowMs() });
 */
export function reduceEnginePath(path: EnginePath, message: EnginePathMessage): EnginePath {
    switch (message.kind) {
        case "sent":
            return path.unansweredSinceMs === undefined ? { ...path, unansweredSinceMs: message.atMs } : path;
        case "heard":
            return path === OPEN_PATH ? path : OPEN_PATH;
        case "broken":
            return path.brokenSinceMs === undefined ? { ...path, brokenSinceMs: message.atMs } : path;
        case "unreachable":
            return path.unreachableSinceMs === undefined ? { ...path, unreachableSinceMs: message.atMs } : path;
        case "withdrawn": {
            // A request that waited long enough is evidence, also after its client has left.
            const sinceMs = path.unansweredSinceMs;
            return sinceMs !== undefined && message.atMs - sinceMs < message.silentAfterMs
                ? { ...path, unansweredSinceMs: undefined }
                : path;
        }
    }
}

/**
 * Returns since when a host has had nothing on a path that it used.
 *
 * @param path - The path
 * @param atMs - Current time, in milliseconds
 * @param silentAfterMs - Time without an answer after which the path counts as silent, in milliseconds
 * @returns the clock reading in milliseconds; undefined if nothing is missing
 *
 * @example
 * const isSuspect = readSuspectSince(path, clock.nowMs(), 900) !== undefined;
 */
export function readSuspectSince(path: EnginePath, atMs: number, silentAfterMs: number): number | undefined {
    const { unansweredSinceMs, unreachableSinceMs, brokenSinceMs } = path;
    const isSilent = unansweredSinceMs !== undefined && atMs - unansweredSinceMs > silentAfterMs;
    const since = [isSilent ? unansweredSinceMs : undefined, unreachableSinceMs, brokenSinceMs]
        .filter(sinceMs => sinceMs !== undefined);
    return since.length === 0 ? undefined : Math.min(...since);
}
