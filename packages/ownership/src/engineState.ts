import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    EngineId,
    HostId,
    Incarnation,
    InstanceName,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import type { DecayedRate } from "@fulmarcleat/placement";
import type { Priority } from "@fulmarcleat/resources";

/**
 * How far an instance is. `doubtful`: its load order got no answer.
 * `foreign`: an earlier owner loaded it, and it may still be in use or be evicted by that owner.
 */
export type InstanceStatus = "loading" | "doubtful" | "ready" | "unloading" | "foreign";

/** One load of an adapter on the engine. */
export interface Instance {
    readonly instance: InstanceName;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    readonly status: InstanceStatus;
    /** When it came into its status, in milliseconds. */
    readonly sinceMs: number;
    readonly lastUsedMs: number;
    readonly rate: DecayedRate;
    /** Requests that run on it by the engine's last report. */
    readonly reportedRunning: number;
    /** Places ended since that report was asked for. */
    readonly endedSinceReport: number;
    /** When the last report that counts was asked for, in milliseconds. */
    readonly reportedMs?: number | undefined;
    /** When an unload order that got no answer is repeated, in milliseconds. */
    readonly retryAtMs?: number | undefined;
    /** Set once an unload order got no answer; it may take effect at any later time. */
    readonly wasUnanswered?: boolean | undefined;
}

/** A request that may still run although its place was given back. */
export interface Stray {
    readonly instance: InstanceName;
    readonly sinceMs: number;
}

/** One place in the engine's batch that a host holds. */
export interface Place {
    readonly place: PlaceId;
    readonly instance: InstanceName;
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly grantedMs: number;
    /** When its holder was found gone; it is kept until the engine shows no run that could be its. */
    readonly orphanedMs: number | undefined;
}

/** A request that waits for a place. */
export interface Waiting {
    readonly place: PlaceId;
    readonly requestId: RequestId;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    readonly weights: string;
    readonly caller: CallerName;
    readonly priority: Priority;
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly arrivedMs: number;
    readonly deadlineMs: number;
}

/** An adapter whose last load failed. */
export interface LoadBackoff {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    readonly failures: number;
    readonly untilMs: number;
}

/** How an earlier owner left an engine. */
export type FormerOwner = "none" | "released" | "gone" | "lapsed";

/** What the owner must do before it may touch instances of an earlier owner. */
export interface Inheritance {
    /** Hosts that have not yet said which places they hold. */
    readonly unansweredHosts: readonly HostId[];
    /** How the earlier owner left. */
    readonly former: FormerOwner;
    /** Host of the earlier owner. */
    readonly formerHost: HostId | undefined;
    /** From when no place of before can still start a request, in milliseconds. */
    readonly startedByMs: number;
    /** From when no request of before can still run, in milliseconds. */
    readonly safeAtMs: number;
}

/** Limits and settings that the configuration gives. */
export interface EngineLimits {
    readonly queueLimit: number;
    readonly callerQueueLimit: number;
    readonly agingMs: number;
    readonly maxRequestMs: number;
    readonly replicaRate: number;
    readonly batchSlots: number;
    readonly adapterPlaces: number;
    readonly fencing: "checked" | "ignored";
    readonly draining: boolean;
}

/** One engine as its owner knows it. */
export interface EngineState {
    readonly engine: EngineId;
    /** Whether this host may order loads and grant places. */
    readonly phase: "unowned" | "owned" | "releasing";
    readonly fence: number;
    readonly lastLoad: number;
    readonly engineIncarnation: Incarnation | undefined;
    readonly limits: EngineLimits;
    readonly instances: readonly Instance[];
    readonly places: readonly Place[];
    readonly waiting: readonly Waiting[];
    readonly backoffs: readonly LoadBackoff[];
    readonly inheritance: Inheritance | undefined;
    /** When the engine's present incarnation was first seen, in milliseconds. */
    readonly incarnationMs: number;
    /** Whether that incarnation has answered an order with this owner's fence. */
    readonly isFenceSeen: boolean;
    readonly strays: readonly Stray[];
}
