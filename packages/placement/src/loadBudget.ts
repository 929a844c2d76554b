/** State of a host's load budget: tokens for starting loads, and loads in transit. */
export interface LoadBudget {
    readonly tokens: number;
    readonly atMs: number;
    readonly inTransit: number;
}

/** A host's share of the limits of the weight store. */
export interface LoadShare {
    readonly loadsPerSecond: number;
    readonly maxInTransit: number;
    /** Multiple of `loadsPerSecond` at which this host would use the whole store. */
    readonly maxFactor: number;
    /** Maximum number of tokens that accumulate. */
    readonly burst: number;
}
