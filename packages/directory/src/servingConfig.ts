import type { AccountName, BaseModel, ServiceName } from "@fulmarcleat/ids";
import type { ClientAccount } from "./clientAccount.js";

/** Kind of a route: `safe` requests may run again, `unsafe` at most once; `streaming` ones answer with events. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** Service that a route sends requests to, with its weight. */
export interface RouteTarget {
    readonly service: ServiceName;
    /** Share of the route's requests relative to the other targets. */
    readonly weight: number;
}

/** Serving rules for requests of one host name and path prefix. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time until the answer is complete, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which the answer, or a stream's first event, is on time, in milliseconds. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of engines that one attempt of a client may be sent to. */
    readonly maxEngines: number;
    /** Whether an interrupted stream may resume on another engine. */
    readonly isResumable: boolean;
    /** Whether requests need no API key although the configuration has accounts. */
    readonly isAnonymous: boolean;
}

/** Base model that a service's engines may load. */
export interface ModelSpec {
    readonly name: BaseModel;
    readonly sizeMb: number;
    /** Duration of a load from the weight store, in milliseconds. */
    readonly loadMs: number;
    readonly adapterCount: number;
    readonly adapterMb: number;
}

/** Properties of a service's model engines. */
export interface EngineSpec {
    readonly batchSlots: number;
    /** Memory for weights and adapters, in megabytes. */
    readonly memoryMb: number;
    readonly adapterSlots: number;
    readonly models: readonly ModelSpec[];
    /** Maximum number of loads from the weight store started per second, over all engines. */
    readonly loadsPerSecond: number;
}

/** Group of engines that serve the same requests. */
export interface Service {
    readonly name: ServiceName;
    /** Maximum number of connections to one engine from all hosts together. */
    readonly maxConnections: number;
    /** Model engine properties; undefined for a plain service, which holds no models. */
    readonly engine: EngineSpec | undefined;
}

/** Limits on client requests. */
export interface ClientLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface ServingConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly limits: ClientLimits;
    /** Client accounts by name; undefined if the configuration has none, so that requests need no API key. */
    readonly accounts: ReadonlyMap<AccountName, ClientAccount> | undefined;
}
