import type { AdapterName, BaseModel, EngineId, FailureDomain, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";

/** Network address at which a process listens. */
export interface NetAddress {
    readonly ip: string;
    readonly port: number;
}

/** Adapter that an engine has loaded. */
export interface HeldAdapter {
    readonly adapter: AdapterName;
    readonly version: number;
}

/** Base model that an engine has loaded, with its adapters. */
export interface HeldModel {
    readonly model: BaseModel;
    readonly version: number;
    readonly adapters: readonly HeldAdapter[];
}

/** Entry of an engine in the platform's store, written by the engine. */
export interface EngineEntry {
    readonly id: EngineId;
    readonly service: ServiceName;
    readonly address: NetAddress;
    readonly domain: FailureDomain;
    /** Undefined if the engine states none; it then counts as a version of its own. */
    readonly softwareVersion: SoftwareVersion | undefined;
    readonly isDraining: boolean;
    /** Time until the engine stops, in milliseconds; undefined if it announced none. */
    readonly leavesInMs: number | undefined;
    /** Wall-clock start time, in milliseconds since the epoch; distinguishes incarnations of one id. */
    readonly bornMs: number | undefined;
    readonly slots: number;
    readonly models: readonly HeldModel[];
}
