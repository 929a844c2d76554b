/** How far a call to a plain service came. */
export interface ServiceAttempts {
    readonly isOnce: boolean;
    /** Whether any attempt may have reached the service. */
    readonly wasSent: boolean;
    readonly urlsLeft: number;
    readonly isExpired: boolean;
}

/**
 * Decides whether a failed call to a plain service is tried on another url.
 *
 * @param attempts - How far it came
 * @returns whether it may be sent again
 *
 * @example
 * mayRetryService({ isOnce: true, wasSent: true, urlsLeft: 1, isExpired: false }); // false
 */
export function mayRetryService(attempts: ServiceAttempts): boolean {
    const isAllowed = !attempts.isOnce || !attempts.wasSent;
    return isAllowed && attempts.urlsLeft > 0 && !attempts.isExpired;
}
