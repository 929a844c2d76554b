import type { StoreChange } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import { repeat } from "@fulmarcleat/ids";
import type { ClusterView } from "./createClusterView.js";
import type { FrontContext } from "./frontContext.js";
import { formatVersionKey } from "./hostKeys.js";
import { RESUMABLE_MS } from "./resumableTime.js";
import { runEach } from "./runEach.js";
import type { StoreHealth } from "./storeHealth.js";

/** Keeps the store's record of software versions. */
export interface VersionRecords {
    stop(): void;
}

/** Interval between two comparisons of the engines with the record, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time for which the host that ranks one higher is waited for before a host writes itself, in milliseconds. */
const TURN_MS = 2000;
/** Longest key that the store takes, in bytes. */
const MAX_KEY_BYTES = 200;
/** Most hosts that are waited for. */
const MAX_TURNS = 4;

/**
 * Records in the store which software versions the engines of each service have, until a version has been gone for as
 * long as a stream may be resumed. The record outlives the loss of all hosts, which forget where streams began. One host
 * writes; the others follow in turn if it doesn't.
 *
 * @param context - Store, clock, hash and log
 * @param health - Records whether the store answers
 * @param clusterView - Engines, live hosts and the record
 * @returns the running task
 *
 * @example
 * const versionRecords = startVersionRecords(context, health, clusterView);
 */
export function startVersionRecords(
    { clock, deployment, hash, log, store }: Pick<FrontContext, "clock" | "deployment" | "hash" | "log" | "store">,
    health: StoreHealth,
    clusterView: Pick<ClusterView, "engines" | "members" | "recordedVersions" | "hasReadHostKeys" | "readAgeMs">,
): VersionRecords {
    /** Clock readings since which a version's record differs from the engines or is lost, in milliseconds. */
    const differsSince = new Map<string, number>();
    const pending = new Set<string>();

    const readTurnMs = (key: string): number => {
        const hosts = [...clusterView.members.values()].filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
        const rank = rankByRendezvous(hash, key, hosts).indexOf(deployment.host);
        return TURN_MS * (rank < 0 ? MAX_TURNS : Math.min(rank, MAX_TURNS));
    };
    const write = async (key: string, change: Pick<StoreChange, "puts" | "removes">): Promise<void> => {
        pending.add(key);
        try {
            const revision = clusterView.recordedVersions.get(key)?.revision ?? 0;
            await store.change({ expect: [{ key, revision }], ...change });
            health.recordCall(true, STEP);
        }
        catch (err) {
            log.write("warn", 602, { step: toServeError(err, INTERNAL).step });
            health.recordCall(false, STEP);
        }
        finally {
            pending.delete(key);
            // Until the view shows the change, nothing is written again.
            differsSince.delete(key);
        }
    };
    /** Writes a change once it has been due for a time and it is this host's turn. */
    const writeInTurn = (key: string, dueMs: number, change: Pick<StoreChange, "puts" | "removes">): void => {
        const sinceMs = differsSince.get(key) ?? clock.nowMs();
        differsSince.set(key, sinceMs);
        if (!pending.has(key) && clock.nowMs() - sinceMs >= dueMs + readTurnMs(key)) {
            void write(key, change);
        }
    };
    const check = (): void => {
        if (!clusterView.hasReadHostKeys || clusterView.readAgeMs("engines") === undefined) {
            return;
        }
        const inUse = new Set<string>();
        runEach(log, STEP, clusterView.engines.values(), ({ entry }) => entry.id, ({ entry }) => {
            const key = formatVersionKey(entry);
            if (Buffer.byteLength(key) <= MAX_KEY_BYTES) {
                inUse.add(key);
            }
        });
        const recorded = new Set(clusterView.recordedVersions.keys());
        const lost = new Set(
            [...clusterView.recordedVersions].filter(([, { revision }]) => revision === 0)
                .map(([key]) => key),
        );
        for (const key of differsSince.keys()) {
            if (inUse.has(key) === recorded.has(key) && !lost.has(key)) {
                differsSince.delete(key);
            }
        }
        [...lost, ...[...inUse].filter(key => !recorded.has(key))].forEach(key =>
            writeInTurn(key, 0, { puts: [{ key, value: NO_VALUE, lease: 0 }], removes: [] })
        );
        [...recorded].filter(key => !inUse.has(key) && !lost.has(key)).forEach(key =>
            writeInTurn(key, RESUMABLE_MS, { puts: [], removes: [key] })
        );
    };
    return { stop: repeat(clock, CHECK_INTERVAL_MS, check) };
}

/** The key says all. */
const NO_VALUE = Buffer.from("{}");
const STEP = "record software version";
const INTERNAL = { code: "internal", step: STEP, peer: "platform store", outcome: "unknown" } as const;
