import type { ClaimEnd, ClaimReply, ClaimRequest, StoredAnswer } from "@fulmarcleat/wire";
import type { ClaimPage } from "./claimPage.js";
import { EMPTY_PAGE } from "./claimPage.js";

/** A claim request that has no reply yet. */
export interface PendingClaimRequest {
    readonly pendingId: number;
    readonly request: Pick<ClaimRequest, "mode" | "key" | "requestHash" | "nonce">;
    /** Wall time at which the requester stops waiting, in milliseconds. */
    readonly deadlineMs: number;
}

/** Outcome of a claimed request that is not yet written to the page. */
export type PendingClaimEnd = Pick<ClaimEnd, "key" | "nonce" | "outcome">;

/** The answer to a key's first request, retained to replay it to later requests with the key. */
export interface RetainedAnswer {
    readonly nonce: string;
    readonly answer: StoredAnswer;
    readonly bytes: number;
}

/** A page write that was sent and whose outcome is not yet known. */
export interface PageWrite {
    readonly page: ClaimPage;
    readonly nonce: string;
    readonly claims: readonly PendingClaimRequest[];
    readonly ends: readonly PendingClaimEnd[];
}

/** State that a partition's owner holds in memory. */
export interface PartitionState {
    /** Prefix of this host's write nonces; distinct for each host and incarnation. */
    readonly writer: string;
    readonly writeCount: number;
    readonly phase: "unread" | "reading" | "ready" | "writing";
    /** The latest page that is known to be committed. */
    readonly page: ClaimPage;
    readonly revision: number;
    /** Claim requests that are in no write yet. */
    readonly waiting: readonly PendingClaimRequest[];
    readonly ends: readonly PendingClaimEnd[];
    readonly write: PageWrite | undefined;
    readonly answers: readonly RetainedAnswer[];
    /** The scheduled flush: `soon` for claims, `idle` for outcomes alone, or `none`. */
    readonly flush: "none" | "idle" | "soon";
}

/** An action that the caller of `reducePartition` carries out. */
export type PartitionEffect =
    | { readonly kind: "reply"; readonly pendingId: number; readonly reply: ClaimReply }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly expectedRevision: number; readonly page: ClaimPage; readonly nonce: string }
    | { readonly kind: "scheduleFlush"; readonly when: "gathered" | "now" | "idle" };

/** A committed page and the revision of the write that committed it. */
export interface ReadPage {
    readonly page: ClaimPage;
    readonly revision: number;
}

/** Outcome of a page write. */
export type PageWriteOutcome =
    | { readonly kind: "applied"; readonly committed: ReadPage }
    | { readonly kind: "refused"; readonly committed: ReadPage }
    | { readonly kind: "unavailable" }
    | { readonly kind: "unknown" };

/** An event that `reducePartition` handles. */
export type PartitionMessage =
    | { readonly kind: "ask"; readonly waiting: PendingClaimRequest }
    | { readonly kind: "end"; readonly end: PendingClaimEnd; readonly answer: StoredAnswer | undefined }
    | { readonly kind: "flush" }
    | { readonly kind: "read"; readonly committed: ReadPage }
    | { readonly kind: "readFailed" }
    | { readonly kind: "written"; readonly outcome: PageWriteOutcome }
    /** Replies to the claim requests whose deadline has passed. */
    | { readonly kind: "tick" };

/** Current time, availability of the key-value service, and limits. */
export interface PartitionContext {
    /** Wall time, in milliseconds. */
    readonly nowMs: number;
    readonly kvAvailable: boolean;
    readonly limits: PartitionLimits;
}

/** Limits of a partition. */
export interface PartitionLimits {
    /** Time for which a claimed key is retained, in milliseconds. */
    readonly retentionMs: number;
    /** Longest time that a request may run, in milliseconds. */
    readonly maxRunMs: number;
    /** Largest estimated size of a page, in bytes. */
    readonly maxPageBytes: number;
    /** Limit on the total size of the retained answers, in bytes. */
    readonly maxAnswerBytes: number;
    /** Retry delay sent to refused callers, in milliseconds. */
    readonly retryAfterMs: number;
}

/** The next state and the effects to carry out. */
export interface PartitionStep {
    readonly state: PartitionState;
    readonly effects: readonly PartitionEffect[];
}

/**
 * Creates the state of a partition whose page has not been read yet.
 *
 * @param writer - Prefix of the write nonces; unique to this host and incarnation
 * @returns the initial state, in phase `unread`
 *
 * @example
 * const state = createPartitionState(`${host}#${incarnation}`);
 */
export function createPartitionState(writer: string): PartitionState {
    return {
        writer,
        writeCount: 0,
        phase: "unread",
        page: EMPTY_PAGE,
        revision: 0,
        waiting: [],
        ends: [],
        write: undefined,
        answers: [],
        flush: "none",
    };
}
