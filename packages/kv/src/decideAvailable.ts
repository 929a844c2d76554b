/** Results of the latest calls to the key-value service. */
export interface CallHealth {
    /** Whether the call that ended last was answered. */
    readonly lastAnswered: boolean;
    /** When the oldest pending call was sent, in milliseconds. */
    readonly oldestPendingMs: number | undefined;
}

/**
 * Decides whether the key-value service counts as available.
 *
 * @param health - Results of the latest calls
 * @param slowMs - Longest wait for an answer before the service counts as unavailable, in milliseconds
 * @param nowMs - Current time, in milliseconds
 * @returns whether new work may rely on the service
 *
 * @example
 * decideAvailable({ lastAnswered: true, oldestPendingMs: 0 }, 500, 600); // false
 */
export function decideAvailable(health: CallHealth, slowMs: number, nowMs: number): boolean {
    const isSlow = health.oldestPendingMs !== undefined && nowMs - health.oldestPendingMs > slowMs;
    return health.lastAnswered && !isSlow;
}
