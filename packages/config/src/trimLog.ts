import type { ConfigLog } from "./configLog.js";

/** What a trimmed log keeps. */
export interface TrimOptions {
    /** Last change that every page holds. */
    readonly upTo: number;
    /** How many changes are kept at least. */
    readonly keepChanges: number;
    /** Changes accepted after this wall time are kept, in milliseconds. */
    readonly keepAfterMs: number;
}

/**
 * Moves a log's base forward and drops the changes that the pages hold, but for a tail.
 *
 * The tail answers for writes whose replies were lost and for hosts and watchers that lag.
 *
 * @param log - The log
 * @param options - New base and what is kept
 * @returns the shorter log
 *
 * @example
 * const trimmed = trimLog(log, { upTo, keepChanges: 100, keepAfterMs: clock.wallMs() - 30_000 });
 */
export function trimLog(log: ConfigLog, options: TrimOptions): ConfigLog {
    const baseSeq = Math.max(log.baseSeq, options.upTo);
    const excess = log.changes.length - options.keepChanges;
    let dropped = 0;
    for (const change of log.changes) {
        if (dropped >= excess || change.seq > baseSeq || change.atMs > options.keepAfterMs) {
            break;
        }
        dropped += 1;
    }
    return { baseSeq, changes: log.changes.slice(dropped) };
}
