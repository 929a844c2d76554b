/** What the calls of late say about the key-value service. */
export interface CallHealth {
    /** Whether the last call that ended was answered. */
    readonly lastAnswered: boolean;
    /** When the oldest call without an answer was sent, in milliseconds. */
    readonly oldestPendingMs: number | undefined;
}

/**
 * Decides whether the key-value service counts as available.
 *
 * @param health - What the calls of late say
 * @param slowMs - Longest wait for an answer before the service counts as away, in milliseconds
 * @param nowMs - Time, in milliseconds
 * @returns whether new work may rely on it
 *
 * @example
 * decideAvailable({ lastAnswered: true, oldestPendingMs: 0 }, 500, 600); // false
 */
export function decideAvailable(health: CallHealth, slowMs: number, nowMs: number): boolean {
    const isSlow = health.oldestPendingMs !== undefined && nowMs - health.oldestPendingMs > slowMs;
    return health.lastAnswered && !isSlow;
}
