import type { RouteKind } from "@fulmarcleat/directory";

/** When a host stops. */
export interface StopTimes {
    /** Time between the begin of the stop and the arrival of the request, in milliseconds. */
    readonly sinceMs: number;
    /** Time until the host stops, in milliseconds. */
    readonly untilMs: number;
}

/** Usual duration of a stream, in milliseconds; the longest kind in the platform's data sheets takes about this. */
const STREAM_MS = 4700;
/** Allowance for a plain answer, in milliseconds; leaves a margin for slow answers. */
const PLAIN_MS = 900;
/** Time after the begin of a stop within which the load balancer still sends clients here, in milliseconds. */
const EARLY_MS = 3000;

/**
 * Tells whether a stopping host may accept a request or send it to an engine: it must end before the host stops, however
 * slow its engine is. While the load balancer doesn't know of the stop it suffices that such requests usually end in
 * time, unless they may run once only.
 *
 * @param kind - Kind of the request's route
 * @param leftMs - Time until the request ends without an answer, in milliseconds
 * @param stop - When the host stops
 * @returns true if the request ends in time
 *
 * @example
 * canFinishBeforeStop("streaming", 15000, { sinceMs: 5000, untilMs: 2500 }); // false
 */
export function canFinishBeforeStop(kind: RouteKind, leftMs: number, { sinceMs, untilMs }: StopTimes): boolean {
    if (leftMs <= untilMs) {
        return true;
    }
    switch (kind) {
        case "unsafe":
            return false;
        case "safe":
            return sinceMs <= EARLY_MS && PLAIN_MS <= untilMs;
        case "streaming":
            return sinceMs <= EARLY_MS && STREAM_MS <= untilMs;
    }
}
