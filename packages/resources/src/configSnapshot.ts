import type { Resource, ResourceKind } from "./schemas.js";

/** Resources of one kind: by page, then by name; a change copies one page and shares the rest. */
export type ResourceTable = ReadonlyMap<number, ReadonlyMap<string, Resource>>;

/** Every resource as of one change; never mutated. */
export interface ConfigSnapshot {
    /** Last change applied. */
    readonly seq: number;
    readonly tables: ReadonlyMap<ResourceKind, ResourceTable>;
}

/** A deployment without resources. */
export const EMPTY_SNAPSHOT: ConfigSnapshot = { seq: 0, tables: new Map() };
