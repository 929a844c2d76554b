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
 * Life-cycle state of an instance.
 *
 * - `doubtful`: its load order got no answer, so it may or may not be loaded.
 * - `foreign`: an earlier owner loaded it, and that owner may still use or evict it.
 */
export type InstanceStatus = "loading" | "doubtful" | "ready" | "unloading" | "foreign";

/** One load of an adapter version on the engine. */
export interface Instance {
    readonly instance: InstanceName;
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    readonly status: InstanceStatus;
    /** When the instance entered its status, in milliseconds. */
    readonly sinceMs: number;
    readonly lastUsedMs: number;
    readonly rate: DecayedRate;
    /** Requests that ran on it according to the engine's last report. */
    readonly reportedRunning: number;
    /** Places that ended since that report was requested. */
    readonly endedSinceReport: number;
    /** When the last applied report was requested, in milliseconds. */
    readonly reportedMs?: number | undefined;
    /** When an unload order without an answer is repeated, in milliseconds. */
    readonly retryAtMs?: number | undefined;
    /** Set once an unload order got no answer; that order may take effect at any later time. */
    readonly wasUnanswered?: boolean | undefined;
}

/** A request that may still run on the engine although its place has ended. */
export interface UntrackedRun {
    readonly instance: InstanceName;
    readonly sinceMs: number;
}

/** A slot in the engine's batch that a host holds for its requests. */
export interface Place {
    readonly place: PlaceId;
    readonly instance: InstanceName;
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly grantedMs: number;
    /** When its holder was found to have failed; freed once the engine reports no run that could use the place. */
    readonly orphanedMs: number | undefined;
}

/** A request that waits for a place. */
export interface WaitingRequest {
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

/** An adapter version whose last load failed and that is not loaded again for a while. */
export interface LoadBackoff {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Number of failed loads in a row. */
    readonly failures: number;
    /** When it may be loaded again, in milliseconds. */
    readonly untilMs: number;
}

/**
 * How an earlier owner left an engine.
 *
 * - `none`: there was no earlier owner.
 * - `released`: it released the engine after every order was answered.
 * - `gone`: its process has ended.
 * - `lapsed`: its lease expired, but its process may still run.
 */
export type FormerOwnerState = "none" | "released" | "gone" | "lapsed";

/** What a new owner waits for before it may evict instances of an earlier owner. */
export interface Takeover {
    /** Hosts that have not yet reported which places they hold. */
    readonly unansweredHosts: readonly HostId[];
    readonly former: FormerOwnerState;
    readonly formerHost: HostId | undefined;
    /** Time from which no place of an earlier owner can still start a request, in milliseconds. */
    readonly startedByMs: number;
    /** Time from which no request that an earlier owner admitted can still run, in milliseconds. */
    readonly endedByMs: number;
}

/** Limits and settings of an engine, from the configuration. */
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

/** State of one engine, as known to its owner. */
export interface EngineState {
    readonly engine: EngineId;
    /** Whether this host may order loads and grant places. */
    readonly phase: "unowned" | "owned" | "releasing";
    readonly fence: number;
    /** Number of the last load that was ordered under this fence; part of the instance name. */
    readonly lastLoad: number;
    readonly engineIncarnation: Incarnation | undefined;
    readonly limits: EngineLimits;
    readonly instances: readonly Instance[];
    readonly places: readonly Place[];
    readonly waiting: readonly WaitingRequest[];
    readonly backoffs: readonly LoadBackoff[];
    readonly takeover: Takeover | undefined;
    /** When a report first showed the engine's current incarnation, in milliseconds. */
    readonly incarnationMs: number;
    /** Whether that incarnation has answered an order with this owner's fence and did not refuse it as old. */
    readonly isFenceConfirmed: boolean;
    readonly untrackedRuns: readonly UntrackedRun[];
}
