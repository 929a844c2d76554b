import type { RouteKind } from "@fulmarcleat/directory";

/** Usual time of a stream to its end, in milliseconds; the sheets' longest kind takes about this. */
const STREAM_MS = 4700;
/** Time of a plain answer with room for a slow one, in milliseconds. */
const PLAIN_MS = 900;

/**
 * Tells whether a stopping host may still take a request: only one that will end before the host does.
 *
 * @param kind - The route's kind
 * @param timeoutMs - Longest time that the request may take, in milliseconds
 * @param untilStopMs - Time until the host ends, in milliseconds
 * @returns whether it may
 *
 * @example
 * canFinishBeforeStop("streaming", 15000, 3000); // false
 */
export function canFinishBeforeStop(kind: RouteKind, timeoutMs: number, untilStopMs: number): boolean {
    return Math.min(timeoutMs, kind === "streaming" ? STREAM_MS : PLAIN_MS) <= untilStopMs;
}
