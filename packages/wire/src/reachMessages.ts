import type { EngineId, HostId, ServiceName } from "@fulmarcleat/ids";

/** Asks a host which engines of a service it hears from. */
export interface EngineReachRequest {
    readonly service: ServiceName;
}

/** The engines that a host has heard from lately. */
export interface EngineReachReply {
    /** Engines with the time since bytes last arrived from them, in milliseconds. */
    readonly heardAgoMs: readonly (readonly [EngineId, number])[];
    /** Other hosts that it knows to hear from engines of the service. */
    readonly helpers: readonly HostId[];
    /** Number of requests of clients in flight at the host. */
    readonly running: number;
}

/** Asks a host to find out whether an engine runs. */
export interface EngineProbeRequest {
    readonly engine: EngineId;
}

/** What a host has found out: `unclear` also for an engine that it doesn't know. */
export interface EngineProbeReply {
    readonly probe: "gone" | "running" | "unclear";
}
