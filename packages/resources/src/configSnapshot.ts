import type { Resource, ResourceKind } from "./schemas.js";

/** Resources of one kind by page, then by name; a change copies one page and shares the others. */
export type ResourceTable = ReadonlyMap<number, ReadonlyMap<string, Resource>>;

/** Every resource as of one change; immutable. */
export interface ConfigSnapshot {
    /** Sequence number of the last applied change. */
    readonly seq: number;
    readonly tables: ReadonlyMap<ResourceKind, ResourceTable>;
}

/** Snapshot of a deployment without resources. */
export const EMPTY_SNAPSHOT: ConfigSnapshot = { seq: 0, tables: new Map() };
