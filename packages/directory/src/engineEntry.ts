import type { AdapterName, BaseModel, EngineId, FailureDomain, ServiceName } from "@fulmarcleat/ids";

/** Where a process listens. */
export interface NetAddress {
    readonly ip: string;
    readonly port: number;
}

/** An adapter that an engine holds. */
export interface HeldAdapter {
    readonly adapter: AdapterName;
    readonly version: number;
}

/** A base model that an engine holds. */
export interface HeldModel {
    readonly model: BaseModel;
    readonly version: number;
    readonly adapters: readonly HeldAdapter[];
}

/** What an engine says of itself in the platform's store. */
export interface EngineEntry {
    readonly id: EngineId;
    readonly service: ServiceName;
    readonly address: NetAddress;
    readonly domain: FailureDomain;
    readonly isDraining: boolean;
    /** Time until the engine is gone, where it said so, in milliseconds. */
    readonly leavesInMs: number | undefined;
    /** Wall time of its start, in milliseconds since the epoch; tells incarnations of one id apart. */
    readonly bornMs: number | undefined;
    readonly slots: number;
    readonly models: readonly HeldModel[];
}
