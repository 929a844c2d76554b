/** A class of requests and its share of all. */
export interface LoadClass {
    readonly priority: "urgent" | "normal" | "bulk";
    /** Share of all requests, from 0 to 1. */
    readonly share: number;
    readonly tokens: number;
}

/** What load to drive. */
export interface LoadOptions {
    /** Addresses of gateways, used in turn. */
    readonly urls: readonly string[];
    readonly key: string;
    /** `adapter@version` names, the most frequent first. */
    readonly models: readonly string[];
    readonly zipfExponent: number;
    readonly requestsPerSecond: number;
    readonly seconds: number;
    readonly seed: number;
    readonly classes: readonly LoadClass[];
    readonly deadlineMs: number;
}
