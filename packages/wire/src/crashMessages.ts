import type { EngineId, Suspect } from "@fulmarcleat/ids";

/** Reports an engine's crash to the hosts that judge what caused it. */
export interface CrashReport {
    readonly engine: EngineId;
    /** Start time that the engine reported, in milliseconds; tells its crash from that of a former run. */
    readonly bornMs: number | undefined;
    /** Shared parts of the prompts and digests of the requests that the engine was beginning to answer for this host. */
    readonly prompts: readonly (readonly Suspect[])[];
}

/** A judging host's reply to a crash report. */
export interface CrashReply {
    /** Suspects among the reported ones that are quarantined. */
    readonly quarantined: readonly Suspect[];
}

/** Tells a host that a prompt part or a request is quarantined, while the store can't. */
export interface QuarantineNotice {
    readonly part: Suspect;
}

/** Asks a host whether it has answered requests with a suspect, before that is quarantined. */
export interface PromptAnsweredRequest {
    readonly part: Suspect;
}

/** A host's reply about a suspect. */
export interface PromptAnsweredReply {
    /** Time since a request with the suspect was last answered, in milliseconds; undefined if none is known of. */
    readonly answeredAgoMs: number | undefined;
}
