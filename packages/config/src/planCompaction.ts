import { choosePage } from "@fulmarcleat/resources";
import type { ConfigLog } from "./configLog.js";
import { readLastSeq } from "./readLastSeq.js";

/** Pages that a compaction writes before it advances the log's base. */
export interface CompactionPlan {
    /** Sequence number of the last change that the pages include afterwards. */
    readonly upTo: number;
    /** Numbers of the pages that the changes after the base belong to, in ascending order. */
    readonly pages: readonly number[];
}

/**
 * Plans the page writes that allow the log's base to advance to the log's end.
 *
 * @param log - Configuration log
 * @returns the plan, or undefined if the pages include every change
 *
 * @example
 * const plan = planCompaction(log);
 */
export function planCompaction(log: ConfigLog): CompactionPlan | undefined {
    const upTo = readLastSeq(log);
    if (upTo === log.baseSeq) {
        return undefined;
    }
    const pages = log.changes
        .filter(change => change.seq > log.baseSeq)
        .map(change => choosePage(change.op.kind === "put" ? change.op.resource.metadata.name : change.op.ref.name));
    return { upTo, pages: [...new Set(pages)].sort((a, b) => a - b) };
}
