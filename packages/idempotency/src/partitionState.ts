import type { ClaimAsk, ClaimEnd, ClaimReply, KeptAnswer } from "@fulmarcleat/wire";
import type { ClaimPage } from "./claimPage.js";
import { EMPTY_PAGE } from "./claimPage.js";

/** An ask that waits for its reply. */
export interface WaitingAsk {
    readonly askId: number;
    readonly ask: Pick<ClaimAsk, "mode" | "key" | "requestHash" | "nonce">;
    /** When the asker stops waiting, in milliseconds of wall time. */
    readonly deadlineMs: number;
}

/** How a claimed request ended; not yet in the page. */
export type PendingEnd = Pick<ClaimEnd, "key" | "nonce" | "outcome">;

/** A first answer that is still kept. */
export interface KeptEntry {
    readonly nonce: string;
    readonly answer: KeptAnswer;
    readonly bytes: number;
}

/** A write that was sent and has no outcome yet. */
export interface PageWrite {
    readonly page: ClaimPage;
    readonly nonce: string;
    readonly claims: readonly WaitingAsk[];
    readonly ends: readonly PendingEnd[];
}

/** What a host knows of one partition. */
export interface PartitionState {
    /** Tells this host's writes from those of others; new with each incarnation. */
    readonly writer: string;
    readonly writeCount: number;
    readonly phase: "unread" | "reading" | "ready" | "writing";
    /** Last page that is known to be committed. */
    readonly page: ClaimPage;
    readonly revision: number;
    readonly waiting: readonly WaitingAsk[];
    readonly ends: readonly PendingEnd[];
    readonly write: PageWrite | undefined;
    readonly answers: readonly KeptEntry[];
    /** The flush that is scheduled. */
    readonly flush: "none" | "idle" | "soon";
}

/** What a host does for a partition. */
export type PartitionEffect =
    | { readonly kind: "reply"; readonly askId: number; readonly reply: ClaimReply }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly expectedRevision: number; readonly page: ClaimPage; readonly nonce: string }
    | { readonly kind: "scheduleFlush"; readonly when: "gathered" | "now" | "idle" };

/** A committed page as it was read, with the revision that wrote it. */
export interface ReadPage {
    readonly page: ClaimPage;
    readonly revision: number;
}

/** Outcome of a page's write. */
export type PageWriteOutcome =
    | { readonly kind: "applied"; readonly committed: ReadPage }
    | { readonly kind: "refused"; readonly committed: ReadPage }
    | { readonly kind: "unavailable" }
    | { readonly kind: "unknown" };

/** What happens to a partition. */
export type PartitionMessage =
    | { readonly kind: "ask"; readonly waiting: WaitingAsk }
    | { readonly kind: "end"; readonly end: PendingEnd; readonly answer: KeptAnswer | undefined }
    | { readonly kind: "flush" }
    | { readonly kind: "read"; readonly committed: ReadPage }
    | { readonly kind: "readFailed" }
    | { readonly kind: "written"; readonly outcome: PageWriteOutcome }
    /** Replies to the asks whose deadline has passed. */
    | { readonly kind: "tick" };

/** Time, limits and the state of the key-value service. */
export interface PartitionContext {
    /** Wall time, in milliseconds. */
    readonly nowMs: number;
    readonly kvAvailable: boolean;
    readonly limits: PartitionLimits;
}

/** Limits of a partition. */
export interface PartitionLimits {
    /** How long a key is remembered, in milliseconds. */
    readonly retentionMs: number;
    /** Longest run of a request, in milliseconds. */
    readonly maxRunMs: number;
    /** Largest page. */
    readonly maxPageBytes: number;
    /** Memory for kept answers. */
    readonly maxAnswerBytes: number;
    /** When a refused caller is told to come back, in milliseconds. */
    readonly retryAfterMs: number;
}

/** A state with what is to be done. */
export interface PartitionStep {
    readonly state: PartitionState;
    readonly effects: readonly PartitionEffect[];
}

/**
 * Gives the state of a partition that was not read yet.
 *
 * @param writer - Name of this host's incarnation
 * @returns the state
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
