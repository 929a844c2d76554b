import { choosePage } from "@fulmarcleat/resources";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";
import { applyToPage } from "./applyToPage.js";
import type { ConfigLog } from "./configLog.js";
import { EMPTY_PAGE } from "./configPage.js";
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
 * @param pages - The pages that were written, by number
 * @param log - The log as read after the pages
 * @returns all resources as of the log's end, or undefined where the log no longer covers what came after `baseSeq`
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
    const numbers = new Set([...pages.keys(), ...log.changes.map(readPageNumber)]);
    const resources = [...numbers].flatMap(number =>
        applyToPage(pages.get(number) ?? EMPTY_PAGE, log.changes, { number, upTo: seq }).resources
    );
    return { seq, resources };
}

function readPageNumber(change: ConfigChange): number {
    return choosePage(change.op.kind === "put" ? change.op.resource.metadata.name : change.op.ref.name);
}
