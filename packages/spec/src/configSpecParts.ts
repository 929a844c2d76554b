import type { ConfigLog, ConfigPage } from "@fulmarcleat/config";
import { mergePages } from "@fulmarcleat/config";
import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";

/** Configuration pages by number, as a plain object so that they serialize into a state's key. */
export type SpecPages = Readonly<Record<string, ConfigPage>>;

/** Content of a configuration in a form that compares by JSON. */
export interface SpecContent {
    /** Number of the last change that the content includes. */
    readonly seq: number;
    /** Each resource as `name=version`, in sorted order. */
    readonly resources: readonly string[];
}

const OPERATOR = brandId<OperatorName>("operator");

/**
 * Creates a change that puts one Caller, whose `resourceVersion` identifies the change.
 *
 * @param seq - Position of the change in the commit order
 * @param changeId - Id that is unique to the writer
 * @param name - Name of the Caller
 * @returns the change
 *
 * @example
 * const change = createSpecChange(1, "w1", "a");
 */
export function createSpecChange(seq: number, changeId: string, name: string): ConfigChange {
    const resource: Resource = {
        kind: "Caller",
        metadata: { name, generation: 1, resourceVersion: seq },
        spec: { keyHashes: [], weight: 1 },
    };
    return { seq, changeId: brandId<ChangeId>(changeId), by: OPERATOR, atMs: 0, op: { kind: "put", resource } };
}

/**
 * Converts resources to a form that compares by JSON.
 *
 * @param seq - Number of the last change that the resources include
 * @param resources - Resources in any order
 * @returns the names and versions of the resources, sorted
 *
 * @example
 * toContent(snapshot.seq, listAllResources(snapshot));
 */
export function toContent(seq: number, resources: readonly Resource[]): SpecContent {
    return {
        seq,
        resources: resources.map(({ metadata }) => `${metadata.name}=${metadata.resourceVersion}`).sort(),
    };
}

/**
 * Computes the content that results from a prefix of the committed changes.
 *
 * @param commitOrder - All changes in commit order
 * @param seq - Number of the last change to apply
 * @returns the content after that change
 *
 * @example
 * foldChanges(state.commitOrder, host.seq);
 */
export function foldChanges(commitOrder: readonly ConfigChange[], seq: number): SpecContent {
    const resourcesByName = new Map<string, Resource>();
    for (const change of commitOrder.slice(0, seq)) {
        if (change.op.kind === "put") {
            resourcesByName.set(change.op.resource.metadata.name, change.op.resource);
        }
    }
    return toContent(seq, [...resourcesByName.values()]);
}

/**
 * Reads the configuration that the key-value service stores.
 *
 * @param log - Stored log of changes
 * @param pages - Stored pages
 * @returns the content, or undefined where the log has a gap after its base or a page is newer than the log
 *
 * @example
 * readStored(state.log, state.pages);
 */
export function readStored(log: ConfigLog, pages: SpecPages): SpecContent | undefined {
    const merged = mergePages(log.baseSeq, toPageMap(pages), log);
    return merged === undefined ? undefined : toContent(merged.seq, merged.resources);
}

/**
 * Converts the pages of a state to the map that the production code expects.
 *
 * @param pages - Pages as a state holds them
 * @returns the pages by number
 *
 * @example
 * mergePages(baseSeq, toPageMap(reader.pages), log);
 */
export function toPageMap(pages: SpecPages): ReadonlyMap<number, ConfigPage> {
    return new Map(Object.entries(pages).map(([number, page]) => [Number(number), page]));
}

/**
 * Compares two contents.
 *
 * @param left - First content; undefined where it could not be read
 * @param right - Second content
 * @returns whether both include the same changes and resources
 *
 * @example
 * isSameContent(foldChanges(commitOrder, 2), stored);
 */
export function isSameContent(left: SpecContent | undefined, right: SpecContent | undefined): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}
