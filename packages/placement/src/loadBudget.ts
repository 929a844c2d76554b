/** A host's share of the weight store: how many loads may start, and how many may be in transit. */
export interface LoadBudget {
    readonly tokens: number;
    readonly atMs: number;
    readonly inTransit: number;
}

/** A host's share of the weight store's limits. */
export interface LoadShare {
    readonly loadsPerSecond: number;
    readonly maxInTransit: number;
    /** Multiple of `loadsPerSecond` at which this host would have the whole store. */
    readonly maxFactor: number;
    /** Starts that may be saved up. */
    readonly burst: number;
}
