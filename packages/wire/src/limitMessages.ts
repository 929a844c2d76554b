import type { EngineId } from "@fulmarcleat/ids";

/** What an engine was heard to say of the rate of requests that it takes from all hosts together. */
export interface LimitStatement {
    /** Requests a second; undefined if it named none. */
    readonly perSecond: number | undefined;
    /** Time since the answered request was sent, in milliseconds. */
    readonly sentAgoMs: number;
    /** Time since the answer arrived, in milliseconds. */
    readonly heardAgoMs: number;
}

/** Tells a host what an engine said of its limit. */
export interface LimitNotice {
    readonly engine: EngineId;
    /** Start time that the engine reported, in milliseconds; tells what it says from what a former run said. */
    readonly bornMs: number | undefined;
    readonly limit: LimitStatement;
    /** Times since the sender sent requests to the engine without a grant, in milliseconds. */
    readonly sendsAgoMs: readonly number[];
}

/** A host's reply to a notice. */
export interface LimitNoticeReply {
    /** Times since this host sent requests to the engine without a grant, in milliseconds. */
    readonly sendsAgoMs: readonly number[];
}

/** Asks an engine's granter for the right to send one request to an engine that has named a limit. */
export interface SendGrantRequest extends LimitNotice {
    /** Priority of the client's request; 0 is the most urgent. */
    readonly priority: number;
    /** Whether the granters ranked before this one could not be reached. */
    readonly isSubstitute: boolean;
}

/** A granter's reply. */
export type SendGrantReply =
    | { readonly kind: "granted" }
    /** `readyInMs` is the expected time until a request is granted, in milliseconds. */
    | { readonly kind: "refused"; readonly readyInMs: number }
    /** The engine names no limit any more. */
    | { readonly kind: "unlimited"; readonly limit: LimitStatement };
