import { choosePage, formatResourceKey } from "@fulmarcleat/resources";
import type { ConfigChange, Resource, ResourceRef } from "@fulmarcleat/resources";
import type { ConfigPage } from "./configPage.js";

/** Which changes a page takes in. */
export interface ApplyToPageOptions {
    readonly number: number;
    /** Last change to take in. */
    readonly upTo: number;
}

/**
 * Takes the changes that belong to a page into it.
 *
 * @param page - The page
 * @param changes - Every change after the log's base, in order
 * @param options - Number of the page and the last change
 * @returns the page as of that change; the same one where it is as new already
 *
 * @example
 * const next = applyToPage(page, log.changes, { number: 7, upTo: 120 });
 */
export function applyToPage(
    page: ConfigPage,
    changes: readonly ConfigChange[],
    options: ApplyToPageOptions,
): ConfigPage {
    if (page.appliedSeq >= options.upTo) {
        return page;
    }
    const resources = new Map<string, Resource>(
        page.resources.map(resource => [formatResourceKey(readRef(resource)), resource]),
    );
    for (const change of changes) {
        const ref = readChangeRef(change);
        const isDue = change.seq > page.appliedSeq && change.seq <= options.upTo;
        if (!isDue || choosePage(ref.name) !== options.number) {
            continue;
        }
        if (change.op.kind === "put") {
            resources.set(formatResourceKey(ref), change.op.resource);
        }
        else {
            resources.delete(formatResourceKey(ref));
        }
    }
    return { appliedSeq: options.upTo, resources: [...resources.values()] };
}

function readChangeRef(change: ConfigChange): ResourceRef {
    return change.op.kind === "put" ? readRef(change.op.resource) : change.op.ref;
}

function readRef(resource: Resource): ResourceRef {
    return { kind: resource.kind, name: resource.metadata.name };
}
