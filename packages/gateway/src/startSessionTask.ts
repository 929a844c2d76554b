import type { LeaseId } from "@fulmarcleat/drivers";
import type { EventLog } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId, Incarnation } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { formatSessionKey, isSessionTrusted, reduceSessionTrust } from "@fulmarcleat/ownership";
import type { SessionEvent, SessionTrust } from "@fulmarcleat/ownership";

/** Settings of the task that keeps a host's session lease. */
export interface SessionTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly leaseMs: number;
}

/** The task that keeps a host's session lease. */
export interface SessionTask {
    /** Whether this host may act as an owner. */
    isTrusted(): boolean;
    /** When the present lease was taken, in milliseconds. */
    readonly openedMs: number;
    /** Renews no more and leaves the lease to lapse. */
    abandon(): void;
    /** Gives the lease back. */
    stop(): Promise<void>;
}

const RENEWALS_PER_LEASE = 3;

/**
 * Starts the task that keeps a host's session lease; all its engines hang on this one lease.
 *
 * @param options - Client and length of the lease
 * @returns the task
 *
 * @example
 * const session = startSessionTask({ host, incarnation, kv, clock, log, leaseMs });
 */
export function startSessionTask(options: SessionTaskOptions): SessionTask {
    const { clock, kv } = options;
    let lease: LeaseId | undefined;
    let trust: SessionTrust = { aliveMs: undefined, openedMs: 0 };
    const note = (event: SessionEvent): void => {
        trust = reduceSessionTrust(trust, event, options.leaseMs);
    };
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;
    const open = async (): Promise<void> => {
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
        note({ kind: "opened", sentMs, nowMs: clock.nowMs() });
    };
    const renew = async (): Promise<void> => {
        if (lease === undefined) {
            await open();
            return;
        }
        const sentMs = clock.nowMs();
        if (await kv.keepAlive(lease)) {
            note({ kind: "renewed", sentMs });
            return;
        }
        options.log.write("warn", 203, { host: options.host });
        lease = undefined;
        note({ kind: "lapsed" });
        await open();
    };
    const round = async (): Promise<void> => {
        const sentMs = clock.nowMs();
        await renew().catch(() => note({ kind: "unavailable", sentMs }));
        if (!isStopped) {
            cancel = clock.setTimer(options.leaseMs / RENEWALS_PER_LEASE, () => void round());
        }
    };
    void round();
    return {
        isTrusted: () => isSessionTrusted(trust, clock.nowMs(), options.leaseMs),
        get openedMs() {
            return trust.openedMs;
        },
        abandon() {
            isStopped = true;
            cancel();
        },
        async stop() {
            isStopped = true;
            cancel();
            if (lease !== undefined) {
                await kv.revokeLease(lease).catch(() => undefined);
            }
        },
    };
}
