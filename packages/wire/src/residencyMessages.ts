import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";

/** Load request: requests an adapter on an engine from the engine's owner. */
export interface AdapterLoadRequest {
    readonly engine: EngineId;
    readonly model: BaseModel;
    readonly adapter: AdapterName;
    /** Minimum acceptable version; undefined for any. */
    readonly version: number | undefined;
    /** Time until the waiting client request misses its latency goal, in milliseconds; negative if it already has. */
    readonly dueInMs: number;
    /** Maximum time that the client request can wait, in milliseconds. */
    readonly waitMs: number;
    /** Whether the engine has just refused a request because the adapter is not loaded. */
    readonly isMissing: boolean;
    /** Whether another host has already forwarded this message to the owner; it is then not forwarded again. */
    readonly isRelayed: boolean;
}

/** An owner's reply to a load request. */
export type AdapterLoadReply =
    /** The adapter can run requests after `inMs` milliseconds. */
    | { readonly kind: "ready"; readonly inMs: number }
    | { readonly kind: "refused"; readonly reason: "no_room" | "not_owner" | "not_allowed" };

/**
 * What a host observed at an engine since its last report: prompt tokens and time in microseconds of each first byte, and
 * usual times between two events of streams in microseconds; all divided by the engine's slowdown at that time.
 */
export type ObservedPerformance = readonly [
    firstBytes: readonly (readonly [tokens: number, us: number])[],
    eventsUs: readonly number[],
];

/**
 * What an engine's owner has learned from the reports of all hosts: nanoseconds for each prompt token, microseconds to
 * the first byte without a prompt and between two events, and the number of samples of first bytes and of events on which
 * these rest. A time that is not known is 0.
 */
export type LearnedPerformance = readonly [
    tokenNs: number,
    idleUs: number,
    eventUs: number,
    firstBytes: number,
    events: number,
];

/** Reports the requests that a host has in flight at an engine to the engine's owner. */
export interface HostUsageReport {
    readonly engine: EngineId;
    /** The host whose requests are reported. */
    readonly host: HostId;
    /** Whether another host has already forwarded this message to the owner; it is then not forwarded again. */
    readonly isRelayed: boolean;
    /** Number of requests in flight by adapter. */
    readonly inFlight: readonly (readonly [AdapterName, number])[];
    /** Number of requests in flight, including those without an adapter. */
    readonly total: number;
    /** Prompt tokens of requests that have not received a first byte. */
    readonly queuedTokens: number;
    /** Adapters of the requests that started since the last report. */
    readonly started: readonly AdapterName[];
    /** Tokens that the requests in flight hold at most in the engine's memory; only where its speed is learned. */
    readonly heldTokens?: number;
    /** Prompt tokens of the requests that started since the last report; only where the engine's speed is learned. */
    readonly startedTokens?: number;
    /** Left out where there is nothing to report, and by hosts that run an earlier version. */
    readonly seen?: ObservedPerformance;
}

/** State of an adapter in an owner report. */
export interface ReportedAdapter {
    readonly adapter: AdapterName;
    readonly version: number | undefined;
    /** Time until the adapter can run requests, in milliseconds; 0 if it can run them now. */
    readonly readyInMs: number;
    /** Whether requests currently run on the adapter. */
    readonly isUsed: boolean;
}

/** Owner report: the state of an engine that its owner sends to other hosts. */
export interface OwnerReport {
    readonly adapters: readonly ReportedAdapter[];
    /** Requests in flight at the engine, over all hosts. */
    readonly load: number;
    /** Prompt tokens of requests that have not received a first byte, over all hosts. */
    readonly queuedTokens: number;
    /** Tokens that requests in flight hold at most in the engine's memory, over all hosts; only if hosts report them. */
    readonly heldTokens?: number;
    /** Prompt tokens that hosts have sent to the engine of late, per second; only if hosts report them. */
    readonly promptTokensPerS?: number;
    /** Expected time until an adapter slot is free and the owner can order a load, in milliseconds. */
    readonly placeWaitMs: number;
    /** Learned duration of an adapter load, in milliseconds; absent while loads take no longer than usual. */
    readonly loadMs?: number | undefined;
    /** Left out where nothing was learned, and by hosts that run an earlier version. */
    readonly pace?: LearnedPerformance;
}

/** An owner's reply to a usage report. */
export type HostUsageReply = { readonly kind: "not_owner" } | ({ readonly kind: "word" } & OwnerReport);
