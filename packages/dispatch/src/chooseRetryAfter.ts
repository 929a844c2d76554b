/** What a refused client's return depends on. */
export interface ReturnTerms {
    /** When the request could be served, from now on, in milliseconds. */
    readonly readyInMs: number;
    /** Time that the client still has, in milliseconds. */
    readonly leftMs: number;
    /** A number in [0, 1) that spreads the clients' return. */
    readonly draw: number;
}

/** Part of the remaining time beyond which clients don't wait as told. */
const HONOURED_PART = 0.3;
/** Shortest wait, in milliseconds; spreads clients that were refused together. */
const SHORTEST_MS = 30;
/** Largest part of the wait that is added at random. */
const SPREAD_PART = 0.5;
/** Longest wait before the spread, in milliseconds; places come free and owners change within it. */
const LONGEST_MS = 1500;

/**
 * Chooses when a refused client should come back.
 *
 * @param terms - When there is room, and what time the client has
 * @returns milliseconds
 *
 * @example
 * chooseRetryAfter({ readyInMs: 400, leftMs: 4000, draw: 0.5 }); // 500
 */
export function chooseRetryAfter({ readyInMs, leftMs, draw }: ReturnTerms): number {
    const wantedMs = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, readyInMs)) * (1 + draw * SPREAD_PART);
    return Math.round(Math.max(1, Math.min(wantedMs, leftMs * HONOURED_PART)));
}
