import type { ConfigLog } from "./configLog.js";

/** New base of the log, and the changes to keep. */
export interface TrimOptions {
    /** Sequence number of the last change that every page includes. */
    readonly upTo: number;
    /** Least number of changes to keep. */
    readonly keepChanges: number;
    /** Wall time in milliseconds; changes accepted after it are kept. */
    readonly keepAfterMs: number;
}

/**
 * Advances a log's base and drops changes that the pages include, except for the latest ones.
 *
 * The kept changes resolve writes whose replies were lost and serve hosts and watchers that lag.
 *
 * @param log - Log to trim
 * @param options - New base and the changes to keep
 * @returns the trimmed log
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
