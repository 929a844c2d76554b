import type { ConfigLog, ConfigPage } from "@fulmarcleat/config";
import { mergePages } from "@fulmarcleat/config";
import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";

/** Pages as a specification's state holds them. */
export type SpecPages = Readonly<Record<string, ConfigPage>>;

/** What a configuration holds, in a comparable form. */
export interface SpecContent {
    readonly seq: number;
    readonly resources: readonly string[];
}

const OPERATOR = brandId<OperatorName>("operator");

/**
 * Creates a change that puts one Caller whose weight tells the change.
 *
 * @param seq - The change's place in the order
 * @param changeId - The change's id
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
 * Gives resources in a form that compares by text.
 *
 * @param seq - Last change that they hold
 * @param resources - The resources
 * @returns their names and versions, in order
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
 * Gives what a prefix of the order of all changes amounts to.
 *
 * @param order - Every change, as it was committed
 * @param seq - Last change to count
 * @returns the content
 *
 * @example
 * foldOrder(state.order, host.seq);
 */
export function foldOrder(order: readonly ConfigChange[], seq: number): SpecContent {
    const present = new Map<string, Resource>();
    for (const change of order.slice(0, seq)) {
        if (change.op.kind === "put") {
            present.set(change.op.resource.metadata.name, change.op.resource);
        }
    }
    return toContent(seq, [...present.values()]);
}

/**
 * Reads what the key-value service holds.
 *
 * @param log - The log
 * @param pages - The pages
 * @returns the content, or undefined where log and pages do not fit together
 *
 * @example
 * readStored(state.log, state.pages);
 */
export function readStored(log: ConfigLog, pages: SpecPages): SpecContent | undefined {
    const merged = mergePages(log.baseSeq, toPageMap(pages), log);
    return merged === undefined ? undefined : toContent(merged.seq, merged.resources);
}

/**
 * Gives pages by number.
 *
 * @param pages - Pages as a state holds them
 * @returns the same pages by number
 *
 * @example
 * mergePages(baseSeq, toPageMap(reader.pages), log);
 */
export function toPageMap(pages: SpecPages): ReadonlyMap<number, ConfigPage> {
    return new Map(Object.entries(pages).map(([number, page]) => [Number(number), page]));
}

/**
 * Whether two contents are the same.
 *
 * @param left - One content
 * @param right - The other
 * @returns whether both hold the same changes and resources
 *
 * @example
 * isSameContent(foldOrder(order, 2), stored);
 */
export function isSameContent(left: SpecContent | undefined, right: SpecContent | undefined): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}
