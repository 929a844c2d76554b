import { toServeError } from "@fulmarcleat/errors";
import type { HostId } from "@fulmarcleat/ids";
import type { AdapterLoadAsk } from "@fulmarcleat/wire";
import type { FrontContext } from "./frontContext.js";
import { formatWantKey } from "./hostKeys.js";

/** Carries load asks through the store to owners that this host can't reach. */
export interface WantMail {
    /** Whether asks to a host go through the store for now. */
    isNeeded(owner: HostId): boolean;
    /** A connection to a host failed. */
    noteUnreachable(owner: HostId): void;
    /** Leaves an ask for its owner; nothing answers it. */
    post(ask: AdapterLoadAsk): void;
}

/** How long a host counts as unreachable after a failure, in milliseconds. */
const UNREACHABLE_MS = 1500;
/** Asks are gathered for this long into one write, in milliseconds. */
const GATHER_MS = 25;
/** Most asks in one write; later ones are left out, since clients ask again. */
const MOST_ASKS = 32;

/**
 * Creates the way for load asks through the store.
 *
 * @param context - Store, clock and log
 * @param readLease - Gives this host's lease, once it has one
 * @returns the way
 *
 * @example
 * createWantMail(context, () => session.lease).post(ask);
 */
export function createWantMail(context: FrontContext, readLease: () => number | undefined): WantMail {
    const { clock, deployment, log, metrics, store } = context;
    const unreachableUntil = new Map<HostId, number>();
    let waiting: AdapterLoadAsk[] = [];
    const flush = async (): Promise<void> => {
        const asks = waiting.slice(0, MOST_ASKS);
        waiting = [];
        const value = Buffer.from(JSON.stringify({ asks }));
        const puts = [{ key: formatWantKey(deployment.host), value, lease: readLease() ?? 0 }];
        try {
            await store.change({ expect: [], puts, removes: [] });
            metrics.count("asks_by_store_total", {}, asks.length);
        }
        catch (err) {
            log.write("warn", 602, { step: toServeError(err, INTERNAL).step, asks: asks.length });
        }
    };
    return {
        isNeeded: owner => clock.nowMs() < (unreachableUntil.get(owner) ?? 0),
        noteUnreachable: owner => void unreachableUntil.set(owner, clock.nowMs() + UNREACHABLE_MS),
        post(ask) {
            if (waiting.length === 0) {
                clock.setTimer(GATHER_MS, () => void flush());
            }
            waiting.push(ask);
        },
    };
}

const INTERNAL = { code: "internal", step: "post load asks", peer: "platform store", outcome: "unknown" } as const;
