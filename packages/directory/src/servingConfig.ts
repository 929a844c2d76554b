import type { BaseModel, ServiceName } from "@fulmarcleat/ids";

/** What may be repeated: `safe` may run again, `unsafe` at most once, `streaming` answers with a series of events. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** One of the services that a route sends to. */
export interface RouteTarget {
    readonly service: ServiceName;
    /** Share of the route's requests, in relation to the other targets'. */
    readonly weight: number;
}

/** How requests of one host name and path are served. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time until the answer has ended, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which the answer, or a stream's first event, is on time, in milliseconds. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Most engines that one attempt of a client may be sent to. */
    readonly maxEngines: number;
    /** Whether a broken stream may go on at another engine. */
    readonly isResumable: boolean;
}

/** A base model that a service's engines may hold. */
export interface ModelSpec {
    readonly name: BaseModel;
    readonly sizeMb: number;
    /** Time of a load from the weight store, in milliseconds. */
    readonly loadMs: number;
    readonly adapterCount: number;
    readonly adapterMb: number;
}

/** What the model engines of a service are like. */
export interface EngineSpec {
    readonly batchSlots: number;
    /** Room for weights and adapters, in megabytes. */
    readonly memoryMb: number;
    readonly adapterSlots: number;
    readonly models: readonly ModelSpec[];
    /** Loads from the weight store that may begin in a second, over all engines. */
    readonly loadsPerSecond: number;
}

/** A group of engines that run the same requests. */
export interface Service {
    readonly name: ServiceName;
    /** Most connections that one engine takes from all hosts together. */
    readonly maxConnections: number;
    /** Undefined for a plain service, which holds no models. */
    readonly engine: EngineSpec | undefined;
}

/** Limits of what a client may send. */
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
}
