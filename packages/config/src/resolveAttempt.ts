import type { ChangeId } from "@fulmarcleat/ids";
import type { ConfigLog } from "./configLog.js";

/** An attempt to write changes to the log. */
export interface LogAttempt {
    readonly changeId: ChangeId;
    /** The `seq` that the attempt gave to its first change. */
    readonly seq: number;
}

/** What a log says about an attempt. */
export type AttemptState = "accepted" | "absent" | "undecided";

/**
 * Tells from a later log whether an attempt took effect.
 *
 * @param log - The log as read after the attempt
 * @param attempt - The attempt
 * @returns `undecided` where the log no longer reaches back to the attempt
 *
 * @example
 * resolveAttempt(parseConfigLog(current.value), attempt);
 */
export function resolveAttempt(log: ConfigLog, attempt: LogAttempt): AttemptState {
    if (log.changes.some(change => change.changeId === attempt.changeId)) {
        return "accepted";
    }
    const firstKept = log.changes[0]?.seq ?? log.baseSeq + 1;
    return firstKept <= attempt.seq ? "absent" : "undecided";
}
