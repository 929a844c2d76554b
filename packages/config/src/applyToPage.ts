import { choosePage, formatResourceKey } from "@fulmarcleat/resources";
import type { ConfigChange, Resource, ResourceRef } from "@fulmarcleat/resources";
import type { ConfigPage } from "./configPage.js";

/** Selects the changes to apply to a page. */
export interface ApplyToPageOptions {
    /** Page number, as `choosePage` returns it. */
    readonly number: number;
    /** Sequence number of the last change to apply. */
    readonly upTo: number;
}

/**
 * Applies the changes whose resources belong to a page.
 *
 * @param page - Page as stored
 * @param changes - Every change after the log's base, in order of `seq`
 * @param options - Page number and last change to apply
 * @returns the page as of that change, or `page` itself if it is already that new
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
        page.resources.map(resource => [formatResourceKey(getResourceRef(resource)), resource]),
    );
    for (const change of changes) {
        const ref = getChangeRef(change);
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

function getChangeRef(change: ConfigChange): ResourceRef {
    return change.op.kind === "put" ? getResourceRef(change.op.resource) : change.op.ref;
}

function getResourceRef(resource: Resource): ResourceRef {
    return { kind: resource.kind, name: resource.metadata.name };
}
