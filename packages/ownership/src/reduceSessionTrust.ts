/** State of a host's own session lease, as far as the host has confirmed it. */
export interface SessionTrust {
    /** Time up to which the host is known to have run unpaused with its lease, in ms; undefined once it expired. */
    readonly aliveMs: number | undefined;
    /** When the current lease was granted, in milliseconds. */
    readonly openedMs: number;
}

/** Result of an attempt to open or renew the session lease; `sentMs` is when the attempt was sent. */
export type SessionEvent =
    | { readonly kind: "opened"; readonly sentMs: number; readonly nowMs: number }
    | { readonly kind: "renewed"; readonly sentMs: number }
    | { readonly kind: "unavailable"; readonly sentMs: number }
    | { readonly kind: "lapsed" };

/**
 * Updates the state of a host's session lease with the result of a renewal.
 *
 * While the key-value service is unavailable, a host that attempts a renewal at least once per lease length
 * was not paused, so it continues to serve. After a longer gap it must wait for an answer from the service.
 *
 * @param trust - State before the renewal
 * @param event - Result of the renewal
 * @param leaseMs - Length of the lease, in milliseconds
 * @returns the updated state
 *
 * @example
 * trust = reduceSessionTrust(trust, { kind: "renewed", sentMs }, leaseMs);
 */
export function reduceSessionTrust(trust: SessionTrust, event: SessionEvent, leaseMs: number): SessionTrust {
    switch (event.kind) {
        case "opened":
            return { aliveMs: event.sentMs, openedMs: event.nowMs };
        case "renewed":
            return { ...trust, aliveMs: event.sentMs };
        case "unavailable": {
            const wasPaused = trust.aliveMs === undefined || event.sentMs - trust.aliveMs >= leaseMs;
            return wasPaused ? trust : { ...trust, aliveMs: event.sentMs };
        }
        case "lapsed":
            return { ...trust, aliveMs: undefined };
    }
}
