import { repeat } from "@fulmarcleat/ids";
import type { ClusterView } from "./createClusterView.js";
import type { FrontContext } from "./frontContext.js";
import { formatVersionKey } from "./hostKeys.js";
import { createTurnWriter } from "./origins/createTurnWriter.js";
import { RESUMABLE_MS } from "./resumableTime.js";
import { runEach } from "./runEach.js";
import type { StoreHealth } from "./storeHealth.js";

/** Keeps the store's record of software versions. */
export interface VersionRecords {
    stop(): void;
}

/** Interval between two comparisons of the engines with the record, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Longest key that the store takes, in bytes. */
const MAX_KEY_BYTES = 200;

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
    context: Pick<FrontContext, "clock" | "deployment" | "hash" | "log" | "store">,
    health: StoreHealth,
    clusterView: Pick<ClusterView, "engines" | "members" | "recordedVersions" | "hasReadHostKeys" | "readAgeMs">,
): VersionRecords {
    const { clock, log } = context;
    const { keepDue, writeInTurn } = createTurnWriter(context, health, clusterView, {
        step: STEP,
        readRevision: key => clusterView.recordedVersions.get(key)?.revision ?? 0,
    });
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
        keepDue(key => inUse.has(key) !== recorded.has(key) || lost.has(key));
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
