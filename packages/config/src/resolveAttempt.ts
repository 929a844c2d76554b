import type { ChangeId } from "@fulmarcleat/ids";
import type { ConfigLog } from "./configLog.js";

/** An attempt to append changes to the log. */
export interface LogAttempt {
    /** Id of the attempt's first change. */
    readonly changeId: ChangeId;
    /** Sequence number that the attempt assigned to its first change. */
    readonly seq: number;
}

/** Outcome of an attempt, as far as a log shows it. */
export type AttemptState = "accepted" | "absent" | "undecided";

/**
 * Determines from a later log whether an attempt took effect.
 *
 * @param log - Log as read after the attempt
 * @param attempt - Id and sequence number of the attempt's first change
 * @returns the outcome; `undecided` if the log no longer contains changes as old as the attempt
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
