import type { StoreChange } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { ClusterView } from "../createClusterView.js";
import type { FrontContext } from "../frontContext.js";
import type { StoreHealth } from "../storeHealth.js";

/** Writes keys that all hosts agree on: one host writes, the others follow in turn if it doesn't. */
export interface TurnWriter {
    /** Writes a change to a key once it has been due for a time and it is this host's turn. */
    writeInTurn(key: string, dueMs: number, change: Pick<StoreChange, "puts" | "removes">): void;
    /** Forgets the changes that were due, but for those of some keys. */
    keepDue(isDue: (key: string) => boolean): void;
}

/** What a host writes, and what it knows of the keys. */
export interface TurnWriterOptions {
    /** Step that is stated in logs. */
    readonly step: string;
    /** Returns a key's revision as this host knows it; 0 if the store lacks the key. */
    readonly readRevision: (key: string) => number;
}

/** Time for which the host that ranks one higher is waited for before a host writes itself, in milliseconds. */
const TURN_MS = 2000;
/** Most hosts that are waited for. */
const MAX_TURNS = 4;

/**
 * Creates the writer of keys that all hosts compare with what they know.
 *
 * @param context - Store, clock, hash and log
 * @param health - Records whether the store answers
 * @param clusterView - Live hosts
 * @param options - Step and revisions of the keys
 * @returns the writer
 *
 * @example
 * const writer = createTurnWriter(context, health, clusterView, { step: "record software version", readRevision });
 */
export function createTurnWriter(
    { clock, deployment, hash, log, store }: Pick<FrontContext, "clock" | "deployment" | "hash" | "log" | "store">,
    health: Pick<StoreHealth, "recordCall">,
    clusterView: Pick<ClusterView, "members">,
    { step, readRevision }: TurnWriterOptions,
): TurnWriter {
    /** Clock readings since which a change to a key has been due, in milliseconds. */
    const dueSince = new Map<string, number>();
    const pending = new Set<string>();

    const readTurnMs = (key: string): number => {
        const hosts = [...clusterView.members.values()].filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
        const rank = rankByRendezvous(hash, key, hosts).indexOf(deployment.host);
        return TURN_MS * (rank < 0 ? MAX_TURNS : Math.min(rank, MAX_TURNS));
    };
    const write = async (key: string, change: Pick<StoreChange, "puts" | "removes">): Promise<void> => {
        pending.add(key);
        try {
            await store.change({ expect: [{ key, revision: readRevision(key) }], ...change });
            health.recordCall(true, step);
        }
        catch (err) {
            const details = { code: "internal", step, peer: "platform store", outcome: "unknown" } as const;
            log.write("warn", 602, { step: toServeError(err, details).step });
            health.recordCall(false, step);
        }
        finally {
            pending.delete(key);
            // Until the view shows the change, nothing is written again.
            dueSince.delete(key);
        }
    };
    return {
        writeInTurn(key, dueMs, change) {
            const sinceMs = dueSince.get(key) ?? clock.nowMs();
            dueSince.set(key, sinceMs);
            if (!pending.has(key) && clock.nowMs() - sinceMs >= dueMs + readTurnMs(key)) {
                void write(key, change);
            }
        },
        keepDue: isDue => [...dueSince.keys()].filter(key => !isDue(key)).forEach(key => dueSince.delete(key)),
    };
}
