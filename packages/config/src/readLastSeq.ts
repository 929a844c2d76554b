import type { ConfigLog } from "./configLog.js";

/**
 * Reads the last change that a log holds or its pages hold.
 *
 * @param log - The log
 * @returns its `seq`; 0 where nothing was accepted
 *
 * @example
 * const next = readLastSeq(log) + 1;
 */
export function readLastSeq(log: ConfigLog): number {
    return Math.max(log.baseSeq, log.changes.at(-1)?.seq ?? 0);
}
