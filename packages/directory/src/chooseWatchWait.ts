import { STORE_REPLY_TIMEOUT_MS } from "./metadataStore.js";

/** Shortest wait of a watch call, in milliseconds. */
const MIN_WATCH_WAIT_MS = 100;
/** Longest wait of a watch call, in milliseconds; the platform accepts no longer one. */
const MAX_WATCH_WAIT_MS = 30_000;
/** Reserve for the call that follows a failed watch, in milliseconds: its delay and the reply of a slow store. */
const NEXT_CALL_RESERVE_MS = 500;

/**
 * Chooses how long a watch call waits at the store, so that a call whose connection goes silent fails and is repeated
 * before what it keeps up to date is too old.
 *
 * @param intervalMs - Time between two watch calls, in milliseconds
 * @param maxAgeMs - Longest time for which changes may go unnoticed, in milliseconds
 * @returns the wait in milliseconds, whole
 *
 * @example
 * chooseWatchWait(350, 3000); // 1250
 */
export function chooseWatchWait(intervalMs: number, maxAgeMs: number): number {
    const leftMs = maxAgeMs - intervalMs - STORE_REPLY_TIMEOUT_MS - NEXT_CALL_RESERVE_MS;
    return Math.round(Math.min(MAX_WATCH_WAIT_MS, Math.max(MIN_WATCH_WAIT_MS, leftMs)));
}
