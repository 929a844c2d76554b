/** State of a call to a plain service after a failed attempt. */
export interface ServiceAttempts {
    /** Whether the call may run at most once. */
    readonly isAtMostOnce: boolean;
    /** Whether any attempt may have reached the service. */
    readonly wasSent: boolean;
    /** Number of URLs not tried yet. */
    readonly urlsLeft: number;
    /** Whether the call's time limit has passed. */
    readonly isExpired: boolean;
}

/**
 * Decides whether a failed call to a plain service is retried on its next URL.
 *
 * @param attempts - State of the call after the failed attempt
 * @returns whether the call may be sent again
 *
 * @example
 * mayRetryService({ isAtMostOnce: true, wasSent: true, urlsLeft: 1, isExpired: false }); // false
 */
export function mayRetryService(attempts: ServiceAttempts): boolean {
    const isAllowed = !attempts.isAtMostOnce || !attempts.wasSent;
    return isAllowed && attempts.urlsLeft > 0 && !attempts.isExpired;
}
