import type { AdapterName, BaseModel, EngineId, HostId } from "@fulmarcleat/ids";

/** Asks an engine's owner to have an adapter there. */
export interface AdapterLoadAsk {
    readonly engine: EngineId;
    readonly model: BaseModel;
    readonly adapter: AdapterName;
    /** Oldest version that will do; undefined for any. */
    readonly version: number | undefined;
    /** How long the request that waits can still be on time, in milliseconds; negative where it is late. */
    readonly dueInMs: number;
    /** How long the request can wait, in milliseconds. */
    readonly waitMs: number;
    /** Whether the engine has just refused a request because it lacks the adapter. */
    readonly isMissing: boolean;
    /** Passed on by a host that knows the owner, for one that does not. */
    readonly isRelayed: boolean;
}

/** An owner's answer to a load ask. */
export type AdapterLoadReply =
    | { readonly kind: "ready"; readonly inMs: number }
    | { readonly kind: "refused"; readonly reason: "no_room" | "not_owner" | "not_allowed" };

/** Tells an engine's owner what a host has under way there. */
export interface EngineUseTell {
    readonly engine: EngineId;
    /** Whose requests these are. */
    readonly host: HostId;
    /** Passed on by a host that knows the owner, for one that does not. */
    readonly isRelayed: boolean;
    readonly inFlight: readonly (readonly [AdapterName, number])[];
    readonly total: number;
    /** Prompt tokens of requests without a first byte so far. */
    readonly queuedTokens: number;
    /** Adapters of requests that started since the last word. */
    readonly started: readonly AdapterName[];
}

/** An adapter as an owner tells other hosts of it. */
export interface ToldAdapter {
    readonly adapter: AdapterName;
    readonly version: number | undefined;
    /** Time until it can run requests; 0 where it can now. */
    readonly readyInMs: number;
    /** Whether requests run on it. */
    readonly isUsed: boolean;
}

/** What an owner tells other hosts of its engine. */
export interface EngineWord {
    readonly adapters: readonly ToldAdapter[];
    /** Requests under way there, over all hosts. */
    readonly load: number;
    /** Prompt tokens of requests without a first byte so far, over all hosts. */
    readonly queuedTokens: number;
    /** Expected wait until a place for another adapter is free, in milliseconds. */
    readonly placeWaitMs: number;
}

/** An owner's answer to what a host tells it. */
export type EngineUseReply = { readonly kind: "not_owner" } | ({ readonly kind: "word" } & EngineWord);
