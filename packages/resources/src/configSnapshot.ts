import type { Resource } from "./schemas.js";

/** Every resource as of one change; never mutated. */
export interface ConfigSnapshot {
    /** Last change applied. */
    readonly seq: number;
    readonly resources: ReadonlyMap<string, Resource>;
}

/** A deployment without resources. */
export const EMPTY_SNAPSHOT: ConfigSnapshot = { seq: 0, resources: new Map() };
