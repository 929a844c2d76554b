/** A class of requests with one priority and answer length. */
export interface LoadClass {
    readonly priority: "urgent" | "normal" | "bulk";
    /** Share of all requests, from 0 to 1. */
    readonly share: number;
    /** Tokens to request per answer. */
    readonly tokens: number;
}

/** Options of a load run. */
export interface LoadOptions {
    /** Addresses of the gateways, used in turn. */
    readonly urls: readonly string[];
    /** Bearer key of the caller. */
    readonly key: string;
    /** Models to request as `adapter@version`, the most frequent first. */
    readonly models: readonly string[];
    /** Exponent of the Zipf distribution of models; 0 is uniform. */
    readonly zipfExponent: number;
    readonly requestsPerSecond: number;
    readonly seconds: number;
    /** Seed of the random choices. */
    readonly seed: number;
    readonly classes: readonly LoadClass[];
    /** Deadline of each request, in milliseconds. */
    readonly deadlineMs: number;
}
