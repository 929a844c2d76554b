/** Shortest time that clients wait for the next byte of a stream, in milliseconds; longer for long goals. */
const MIN_CLIENT_WAIT_MS = 2000;
/** Clients give up a stream without a byte after this multiple of its goal, as the platform states. */
const CLIENT_WAIT_GOAL_FACTOR = 4;

/**
 * Estimates how long a client waits for the next byte of a stream.
 *
 * @param goalMs - Time within which the first byte is on time, in milliseconds
 * @returns the time in milliseconds
 *
 * @example
 * estimateClientPatience(800); // 3200
 */
export function estimateClientPatience(goalMs: number): number {
    return Math.max(MIN_CLIENT_WAIT_MS, goalMs * CLIENT_WAIT_GOAL_FACTOR);
}
