import { choosePage } from "@fulmarcleat/resources";
import type { ConfigLog } from "./configLog.js";
import { readLastSeq } from "./readLastSeq.js";

/** What a compaction writes before it moves the log's base. */
export interface CompactionPlan {
    /** Last change that the pages hold afterwards. */
    readonly upTo: number;
    /** Pages that changes after the base belong to. */
    readonly pages: readonly number[];
}

/**
 * Plans which pages to write so that the log's base can move to its end.
 *
 * @param log - The log
 * @returns the plan, or undefined where the pages hold every change
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
