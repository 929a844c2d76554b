/** What a host knows of its own session lease. */
export interface SessionTrust {
    /** Up to when the host knows that it ran without a pause and kept its lease, in milliseconds; undefined where the lease lapsed. */
    readonly aliveMs: number | undefined;
    /** When the present lease was taken, in milliseconds. */
    readonly openedMs: number;
}

/** How a renewal of the session lease went; `sentMs` is when it was sent. */
export type SessionEvent =
    | { readonly kind: "opened"; readonly sentMs: number; readonly nowMs: number }
    | { readonly kind: "renewed"; readonly sentMs: number }
    | { readonly kind: "unavailable"; readonly sentMs: number }
    | { readonly kind: "lapsed" };

/**
 * Takes in how a renewal of the session lease went.
 *
 * While the key-value service is away, a host that goes on trying within the length of a lease was not
 * paused, so it goes on serving; after a longer gap only the service's answer counts.
 *
 * @param trust - What the host knows so far
 * @param event - How the renewal went
 * @param leaseMs - Length of the lease, in milliseconds
 * @returns what the host knows now
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
