import type { AccountName, ApiKey } from "@fulmarcleat/ids";

/** Rate at which an account may use the service, over all hosts together. */
export interface RateLimit {
    /** What `perSecond` and `burst` count. */
    readonly unit: "requests" | "tokens";
    readonly perSecond: number;
    /** Units that the account may use at once in addition to the rate. */
    readonly burst: number;
    /** Cost of a request that states no tokens, if tokens are counted. */
    readonly requestTokens: number;
}

/** Client account: whoever sends requests with one of its API keys. */
export interface ClientAccount {
    readonly name: AccountName;
    readonly keys: readonly ApiKey[];
    /** 0 is the most urgent; undefined if the priority of the route counts. */
    readonly priority: number | undefined;
    /** Undefined if the account may use the service without limit. */
    readonly limit: RateLimit | undefined;
}
