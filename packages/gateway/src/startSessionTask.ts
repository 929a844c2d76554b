import type { LeaseId } from "@fulmarcleat/drivers";
import type { EventLog } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId, Incarnation } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { formatSessionKey, isSessionTrusted, reduceSessionTrust } from "@fulmarcleat/ownership";
import type { SessionEvent, SessionTrust } from "@fulmarcleat/ownership";

/** Options of the session task. */
export interface SessionTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Duration of the lease, in milliseconds. */
    readonly leaseMs: number;
}

/** The task that holds and renews a host's session lease. */
export interface SessionTask {
    /** Whether the lease is known to be valid, so that this host may act as an owner. */
    isTrusted(): boolean;
    /** When the current lease was granted, in milliseconds of the host's clock. */
    readonly openedMs: number;
    /** Stops renewals and lets the lease expire. */
    abandon(): void;
    /** Stops renewals and revokes the lease. */
    stop(): Promise<void>;
}

/** Number of renewals per lease duration. */
const RENEWALS_PER_LEASE = 3;

/**
 * Starts the task that holds a host's session lease; the ownership of all its engines depends on this lease.
 *
 * @param options - Host, key-value client and duration of the lease
 * @returns the session task, which opens the lease at once
 *
 * @example
 * const session = startSessionTask({ host, incarnation, kv, clock, log, leaseMs });
 */
export function startSessionTask(options: SessionTaskOptions): SessionTask {
    const { clock, kv } = options;
    let lease: LeaseId | undefined;
    let trust: SessionTrust = { aliveMs: undefined, openedMs: 0 };
    const applyEvent = (event: SessionEvent): void => {
        trust = reduceSessionTrust(trust, event, options.leaseMs);
    };
    let isStopped = false;
    let cancelRenewal: CancelTimer = () => undefined;
    const openSession = async (): Promise<void> => {
        const sentMs = clock.nowMs();
        const granted = await kv.grantLease(options.leaseMs);
        const key = formatSessionKey(options.host);
        const current = await kv.read("session", key);
        const outcome = await kv.write({
            purpose: "session",
            key,
            expectedRevision: current?.revision ?? 0,
            value: options.incarnation,
            lease: granted,
            isOwn: value => value === options.incarnation,
        });
        if (outcome.kind !== "applied") {
            return;
        }
        lease = granted;
        applyEvent({ kind: "opened", sentMs, nowMs: clock.nowMs() });
    };
    const renew = async (): Promise<void> => {
        if (lease === undefined) {
            await openSession();
            return;
        }
        const sentMs = clock.nowMs();
        if (await kv.keepAlive(lease)) {
            applyEvent({ kind: "renewed", sentMs });
            return;
        }
        options.log.write("warn", 203, { host: options.host });
        lease = undefined;
        applyEvent({ kind: "lapsed" });
        await openSession();
    };
    const renewPeriodically = async (): Promise<void> => {
        const sentMs = clock.nowMs();
        await renew().catch(() => applyEvent({ kind: "unavailable", sentMs }));
        if (!isStopped) {
            cancelRenewal = clock.setTimer(options.leaseMs / RENEWALS_PER_LEASE, () => void renewPeriodically());
        }
    };
    void renewPeriodically();
    return {
        isTrusted: () => isSessionTrusted(trust, clock.nowMs(), options.leaseMs),
        get openedMs() {
            return trust.openedMs;
        },
        abandon() {
            isStopped = true;
            cancelRenewal();
        },
        async stop() {
            isStopped = true;
            cancelRenewal();
            if (lease !== undefined) {
                await kv.revokeLease(lease).catch(() => undefined);
            }
        },
    };
}
