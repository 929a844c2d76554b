/** Inputs to the retry delay of a rejected client. */
export interface RetryAfterTerms {
    /** Time until the request could be served, in milliseconds. */
    readonly readyInMs: number;
    /** Time until the client's deadline, in milliseconds. */
    readonly leftMs: number;
    /** Random number in [0, 1); spreads the retries of clients. */
    readonly draw: number;
    /** Whether the time is known, such as the end of a pause, and no sooner return can succeed. */
    readonly isCertain?: boolean;
}

/** Largest part of the remaining time used as delay; clients don't honour longer delays. */
const MAX_REMAINING_PART = 0.3;
/** Minimum wait before the random part, in milliseconds; spreads clients that were rejected together. */
const MIN_WAIT_MS = 30;
/** Largest random addition, as a part of the wait. */
const SPREAD_PART = 0.5;
/** Maximum wait before the random part, in milliseconds; slots are freed and owners change within it. */
const MAX_WAIT_MS = 1500;

/**
 * Chooses how long a rejected client should wait before it retries.
 *
 * @param terms - Time until capacity is free, the client's remaining time and a random number
 * @returns the delay for Retry-After, in milliseconds
 *
 * @example
 * chooseRetryAfter({ readyInMs: 400, leftMs: 4000, draw: 0.5 }); // 500
 */
export function chooseRetryAfter({ readyInMs, leftMs, draw, isCertain }: RetryAfterTerms): number {
    const desiredMs = isCertain === true
        ? Math.max(MIN_WAIT_MS, readyInMs)
        : Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, readyInMs)) * (1 + draw * SPREAD_PART);
    return Math.round(Math.max(1, Math.min(desiredMs, leftMs * MAX_REMAINING_PART)));
}
