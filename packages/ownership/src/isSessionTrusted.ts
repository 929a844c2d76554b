import type { SessionTrust } from "./reduceSessionTrust.js";

/**
 * Tells whether a host may act as an owner, from the state of its session lease.
 *
 * @param trust - Last confirmed state of the host's session lease
 * @param nowMs - Current time, in milliseconds
 * @param leaseMs - Length of the lease, in milliseconds
 * @returns whether it may grant places and order loads
 *
 * @example
 * const isSuspended = !isSessionTrusted(trust, clock.nowMs(), leaseMs);
 */
export function isSessionTrusted(trust: SessionTrust, nowMs: number, leaseMs: number): boolean {
    return trust.aliveMs !== undefined && nowMs - trust.aliveMs < leaseMs;
}
