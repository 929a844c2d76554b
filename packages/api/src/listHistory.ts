import type { ConfigChange, ResourceKind } from "@fulmarcleat/resources";

/** Selects changes by the resource that they changed. */
export interface HistoryFilter {
    /** Undefined selects every kind. */
    readonly kind: ResourceKind | undefined;
    /** An empty name selects every name. */
    readonly name: string;
}

/** Recent changes with their authors and times. */
export interface History {
    readonly kind: "History";
    /** Sequence number of the oldest change in memory; undefined if there is none. */
    readonly keptFrom: number | undefined;
    readonly items: readonly ConfigChange[];
}

/**
 * Lists the changes in memory of one resource, of one kind or of all resources.
 *
 * @param changes - All changes in memory, oldest first
 * @param filter - Kind and name of the resources to list the changes of
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
