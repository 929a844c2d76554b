import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import type { EngineHealth } from "./reduceHealth.js";

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
}
