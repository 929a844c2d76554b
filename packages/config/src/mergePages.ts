import { choosePage } from "@fulmarcleat/resources";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";
import { applyToPage } from "./applyToPage.js";
import type { ConfigLog } from "./configLog.js";
import { EMPTY_PAGE } from "./configPage.js";
import type { ConfigPage } from "./configPage.js";
import { readLastSeq } from "./readLastSeq.js";

/** Every stored resource as of one change. */
export interface MergedPages {
    /** Sequence number of the last change that the resources include. */
    readonly seq: number;
    readonly resources: readonly Resource[];
}

/**
 * Combines the pages with the changes in the log.
 *
 * @param baseSeq - Base of the log as read before the pages
 * @param pages - Stored pages, by number
 * @param log - Log as read after the pages
 * @returns all resources as of the log's end, or undefined if `log` lacks changes after `baseSeq` or a page is newer
 *
 * @example
 * const merged = mergePages(before.baseSeq, pages, after);
 */
export function mergePages(
    baseSeq: number,
    pages: ReadonlyMap<number, ConfigPage>,
    log: ConfigLog,
): MergedPages | undefined {
    const firstKept = log.changes[0]?.seq ?? log.baseSeq + 1;
    const seq = readLastSeq(log);
    if (firstKept > baseSeq + 1 || [...pages.values()].some(page => page.appliedSeq > seq)) {
        return undefined;
    }
    const numbers = new Set([...pages.keys(), ...log.changes.map(choosePageOfChange)]);
    const resources = [...numbers].flatMap(number =>
        applyToPage(pages.get(number) ?? EMPTY_PAGE, log.changes, { number, upTo: seq }).resources
    );
    return { seq, resources };
}

function choosePageOfChange(change: ConfigChange): number {
    return choosePage(change.op.kind === "put" ? change.op.resource.metadata.name : change.op.ref.name);
}
