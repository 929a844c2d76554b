import type { Resource } from "@fulmarcleat/resources";
import { applyToPage } from "./applyToPage.js";
import type { ConfigLog } from "./configLog.js";
import type { ConfigPage } from "./configPage.js";
import { readLastSeq } from "./readLastSeq.js";

/** Everything that the key-value service held. */
export interface MergedPages {
    readonly seq: number;
    readonly resources: readonly Resource[];
}

/**
 * Puts pages and the log together.
 *
 * @param baseSeq - The log's base as read before the pages
 * @param pages - Every page, by number
 * @param log - The log as read after the pages
 * @returns all resources as of the log's end, or undefined where the log no longer covers what came after `baseSeq`
 *
 * @example
 * const merged = mergePages(before.baseSeq, pages, after);
 */
export function mergePages(
    baseSeq: number,
    pages: readonly ConfigPage[],
    log: ConfigLog,
): MergedPages | undefined {
    const firstKept = log.changes[0]?.seq ?? log.baseSeq + 1;
    if (firstKept > baseSeq + 1) {
        return undefined;
    }
    const seq = readLastSeq(log);
    if (pages.some(page => page.appliedSeq > seq)) {
        return undefined;
    }
    return {
        seq,
        resources: pages.flatMap((page, number) => applyToPage(page, log.changes, { number, upTo: seq }).resources),
    };
}
