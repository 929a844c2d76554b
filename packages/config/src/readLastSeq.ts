import type { ConfigLog } from "./configLog.js";

/**
 * Returns the sequence number of the last change in a log or in the pages that it covers.
 *
 * @param log - Configuration log
 * @returns the sequence number; 0 if no change was accepted
 *
 * @example
 * const next = readLastSeq(log) + 1;
 */
export function readLastSeq(log: ConfigLog): number {
    return Math.max(log.baseSeq, log.changes.at(-1)?.seq ?? 0);
}
