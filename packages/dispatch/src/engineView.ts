import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import type { EngineHealth } from "./reduceHealth.js";

/** Speed of an engine, as hosts have learned it; without the present slowdown, which is stated apart. */
export interface EnginePace {
    /** Prompt tokens that the engine processes per millisecond. */
    readonly promptTokensPerMs: number;
    /** Usual time between two events of a stream while the engine processes no prompt, in milliseconds. */
    readonly eventMs: number;
    /** Time to the first byte at the idle engine for a prompt without tokens, in milliseconds. */
    readonly idleFirstByteMs: number;
    /** Usual duration of a plain service's request at the engine while slots are free, in milliseconds. */
    readonly workMs: number;
    /** Present factor on all durations, from the load header; 1 if work takes as long as usual or it is unknown. */
    readonly slowdown: number;
}

/** State of an engine that a host uses to choose one. */
export interface EngineView {
    readonly id: EngineId;
    readonly domain: FailureDomain;
    readonly slots: number;
    /** Requests that run or wait on the engine, over all hosts, as far as they are known. */
    readonly load: number;
    /** Prompt tokens that wait to be processed on the engine, over all hosts. */
    readonly queuedTokens: number;
    readonly health: EngineHealth;
    /** Whether requests are in flight and the engine has sent no byte for too long. */
    readonly isUnresponsive: boolean;
    /** Time until the engine stops, in milliseconds; undefined if it announced none. */
    readonly leavesInMs: number | undefined;
    /** Speed of the engine; undefined for services whose engines don't state how long work takes. */
    readonly pace?: EnginePace | undefined;
}

/** Presence of a request's adapter on an engine. */
export type AdapterPresence =
    | { readonly kind: "present" }
    /** The adapter is being loaded. */
    | { readonly kind: "coming"; readonly readyInMs: number }
    | {
        readonly kind: "absent";
        /** Expected wait until an adapter slot is free, in milliseconds. */
        readonly placeWaitMs: number;
        /** Whether an owner can order loads on the engine now. */
        readonly canLoad: boolean;
    };

/** State of a model engine that a host uses to choose one. */
export interface ModelEngineView extends EngineView {
    readonly presence: AdapterPresence;
    /** What the request would do at the engine; undefined for engines whose speed is not learned. */
    readonly work?: GenerationWork | undefined;
}

/** Work of one generation at one engine. */
export interface GenerationWork {
    /** Prompt tokens that the engine would have to process; those that it has kept are left out. */
    readonly promptTokens: number;
    /** Tokens in one event of a stream. */
    readonly eventTokens: number;
    /** Longest answer, in tokens. */
    readonly outputTokens: number;
    /** Prompt tokens that have come to the engine of late, per second; others will come while the answer runs. */
    readonly promptTokensPerS: number;
    /** Longest pause between two events with which a stream is on time, in milliseconds. */
    readonly maxPauseMs: number;
    /** Tokens that the requests in flight at the engine hold in its memory with this one, as a part of the memory. */
    readonly memoryPart: number;
}
