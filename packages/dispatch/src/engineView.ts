import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import type { EngineHealth } from "./reduceHealth.js";

/** An engine as a host sees it when it chooses one. */
export interface EngineView {
    readonly id: EngineId;
    readonly domain: FailureDomain;
    readonly slots: number;
    /** Requests that run or wait there, over all hosts, as far as known. */
    readonly load: number;
    /** Prompt tokens that wait to be read there, over all hosts. */
    readonly queuedTokens: number;
    readonly health: EngineHealth;
    /** Requests are under way there and no byte has come for too long. */
    readonly isSilent: boolean;
    /** Time until the engine is gone; undefined where it announced none. */
    readonly leavesInMs: number | undefined;
}

/** Whether an engine has the adapter that a request needs. */
export type AdapterPresence =
    | { readonly kind: "present" }
    /** It is being loaded. */
    | { readonly kind: "coming"; readonly readyInMs: number }
    | {
        readonly kind: "absent";
        /** Expected wait until a place for an adapter is free, in milliseconds. */
        readonly placeWaitMs: number;
        /** Whether somebody may order loads there now. */
        readonly canLoad: boolean;
    };

/** A model engine as a host sees it when it chooses one. */
export interface ModelEngineView extends EngineView {
    readonly presence: AdapterPresence;
}
