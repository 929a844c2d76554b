import type { RouteKind } from "@fulmarcleat/directory";

/** Usual duration of a stream, in milliseconds; the longest kind in the platform's data sheets takes about this. */
const STREAM_MS = 4700;
/** Allowance for a plain answer, in milliseconds; leaves a margin for slow answers. */
const PLAIN_MS = 900;

/**
 * Tells whether a stopping host may still accept a request, which must end before the host stops.
 *
 * @param kind - Kind of the request's route
 * @param timeoutMs - Longest time that the request may take, in milliseconds
 * @param untilStopMs - Time until the host stops, in milliseconds
 * @returns true if the request is expected to end in time
 *
 * @example
 * canFinishBeforeStop("streaming", 15000, 3000); // false
 */
export function canFinishBeforeStop(kind: RouteKind, timeoutMs: number, untilStopMs: number): boolean {
    return Math.min(timeoutMs, kind === "streaming" ? STREAM_MS : PLAIN_MS) <= untilStopMs;
}
