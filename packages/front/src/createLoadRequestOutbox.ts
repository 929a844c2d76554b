import { toServeError } from "@fulmarcleat/errors";
import type { HostId } from "@fulmarcleat/ids";
import type { AdapterLoadRequest } from "@fulmarcleat/wire";
import type { FrontContext } from "./frontContext.js";
import { formatLoadRequestKey } from "./hostKeys.js";

/** Passes load requests through the store to owners that this host can't reach directly. */
export interface LoadRequestOutbox {
    /** Whether load requests to a host go through the store for now. */
    isUnreachable(owner: HostId): boolean;
    /** Records that a connection to a host failed. */
    markUnreachable(owner: HostId): void;
    /** Writes a load request to the store for its owner; the owner sends no reply. */
    enqueue(loadRequest: AdapterLoadRequest): void;
}

/** How long a host counts as unreachable after a failed connection, in milliseconds. */
const UNREACHABLE_MS = 1500;
/** How long load requests are collected before one write, in milliseconds. */
const BATCH_DELAY_MS = 25;
/** Most load requests in one write; the rest are dropped, since clients repeat them. */
const MAX_REQUESTS_PER_WRITE = 32;

/**
 * Creates an outbox that passes load requests through the store.
 *
 * @param context - Store, clock, metrics and log
 * @param readLease - Returns this host's lease; undefined before it has one
 * @returns the outbox
 *
 * @example
 * createLoadRequestOutbox(context, () => session.lease).enqueue(loadRequest);
 */
export function createLoadRequestOutbox(context: FrontContext, readLease: () => number | undefined): LoadRequestOutbox {
    const { clock, deployment, log, metrics, store } = context;
    const unreachableUntil = new Map<HostId, number>();
    let pending: AdapterLoadRequest[] = [];
    const flush = async (): Promise<void> => {
        const loadRequests = pending.slice(0, MAX_REQUESTS_PER_WRITE);
        pending = [];
        const value = Buffer.from(JSON.stringify({ asks: loadRequests }));
        const puts = [{ key: formatLoadRequestKey(deployment.host), value, lease: readLease() ?? 0 }];
        try {
            await store.change({ expect: [], puts, removes: [] });
            metrics.count("asks_by_store_total", {}, loadRequests.length);
        }
        catch (err) {
            log.write("warn", 602, { step: toServeError(err, INTERNAL).step, asks: loadRequests.length });
        }
    };
    return {
        isUnreachable: owner => clock.nowMs() < (unreachableUntil.get(owner) ?? 0),
        markUnreachable: owner => void unreachableUntil.set(owner, clock.nowMs() + UNREACHABLE_MS),
        enqueue(loadRequest) {
            if (pending.length === 0) {
                clock.setTimer(BATCH_DELAY_MS, () => void flush());
            }
            pending.push(loadRequest);
        },
    };
}

const INTERNAL = { code: "internal", step: "post load asks", peer: "platform store", outcome: "unknown" } as const;
