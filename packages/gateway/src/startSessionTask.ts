import type { LeaseId } from "@fulmarcleat/drivers";
import type { EventLog } from "@fulmarcleat/events";
import type { CancelTimer, Clock, HostId, Incarnation } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { formatSessionKey } from "@fulmarcleat/ownership";

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
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;
    const open = async (): Promise<void> => {
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
        lease = outcome.kind === "applied" ? granted : undefined;
    };
    const renew = async (): Promise<void> => {
        if (lease === undefined) {
            await open();
        }
        else if (!await kv.keepAlive(lease)) {
            options.log.write("warn", 203, { host: options.host });
            lease = undefined;
            await open();
        }
    };
    const round = async (): Promise<void> => {
        await renew().catch(() => undefined);
        if (!isStopped) {
            cancel = clock.setTimer(options.leaseMs / RENEWALS_PER_LEASE, () => void round());
        }
    };
    void round();
    return {
        async stop() {
            isStopped = true;
            cancel();
            if (lease !== undefined) {
                await kv.revokeLease(lease).catch(() => undefined);
            }
        },
    };
}
