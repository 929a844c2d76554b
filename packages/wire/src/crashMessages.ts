import type { EngineId, PromptPart } from "@fulmarcleat/ids";

/** Reports an engine's crash to the hosts that judge what caused it. */
export interface CrashReport {
    readonly engine: EngineId;
    /** Start time that the engine reported, in milliseconds; tells its crash from that of a former run. */
    readonly bornMs: number | undefined;
    /** Shared parts of the prompts that the engine was beginning to answer for this host, first part first. */
    readonly prompts: readonly (readonly PromptPart[])[];
}

/** A judging host's reply to a crash report. */
export interface CrashReply {
    /** Parts of the reported prompts that are quarantined. */
    readonly quarantined: readonly PromptPart[];
}

/** Tells a host that a prompt part is quarantined, while the store can't. */
export interface QuarantineNotice {
    readonly part: PromptPart;
}

/** Asks a host whether it has answered requests with a prompt part, before the part is quarantined. */
export interface PromptAnsweredRequest {
    readonly part: PromptPart;
}

/** A host's reply about a prompt part. */
export interface PromptAnsweredReply {
    /** Time since a request with the part was last answered, in milliseconds; undefined if none is known of. */
    readonly answeredAgoMs: number | undefined;
}
