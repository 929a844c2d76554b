import type { ConfigChange, ResourceKind } from "@fulmarcleat/resources";

/** Which changes are wanted. */
export interface HistoryFilter {
    readonly kind: ResourceKind | undefined;
    /** Empty for every name. */
    readonly name: string;
}

/** The latest changes, who made them and when. */
export interface History {
    readonly kind: "History";
    /** The oldest change that is still kept; older ones are dropped. */
    readonly keptFrom: number | undefined;
    readonly items: readonly ConfigChange[];
}

/**
 * Lists the kept changes of a resource, of a kind or of everything.
 *
 * @param changes - The kept changes
 * @param filter - Which are wanted
 * @returns the changes, oldest first
 *
 * @example
 * const history = listHistory(config.recent, { kind: "Offer", name: "levy" });
 */
export function listHistory(changes: readonly ConfigChange[], filter: HistoryFilter): History {
    const items = changes.filter(change => {
        const kind = change.op.kind === "put" ? change.op.resource.kind : change.op.ref.kind;
        const name = change.op.kind === "put" ? change.op.resource.metadata.name : change.op.ref.name;
        return (filter.kind === undefined || filter.kind === kind) && (filter.name === "" || filter.name === name);
    });
    return { kind: "History", keptFrom: changes[0]?.seq, items };
}
