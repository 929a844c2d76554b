import { createPartitionState, EMPTY_PAGE } from "@fulmarcleat/idempotency";
import type { ClaimPage, PartitionLimits, PartitionState } from "@fulmarcleat/idempotency";
import type { ClaimReply } from "@fulmarcleat/wire";

/** Index of one of the two hosts that serve the partition. */
export type OwnerIndex = 0 | 1;

/** A compare-and-swap of the claim page that was sent to the key-value service. */
export interface SentWrite {
    readonly expectedRevision: number;
    readonly page: ClaimPage;
    readonly nonce: string;
}

/** A host that serves the partition, with its calls to the key-value service that are still unanswered. */
export interface OwnerModel {
    readonly state: PartitionState;
    readonly isReading: boolean;
    readonly write: (SentWrite & { readonly wasLost: boolean }) | undefined;
}

/** One attempt of the caller, made under the idempotency key that all attempts share. */
export interface AttemptModel {
    readonly body: "x" | "y";
    readonly phase: "idle" | "asked" | "granted" | "running" | "ending" | "closed";
    /** Whether the reply to a claim request was lost, so that the request was sent again. */
    readonly wasLost: boolean;
    /** Reply to the claim request. */
    readonly reply: ClaimReply | undefined;
    /** Outcome of the run as reported to the caller. */
    readonly outcome: "ran" | "not_run" | "unknown" | undefined;
    readonly runs: number;
}

/** State of the idempotency model: the stored claim page, two hosts that serve it, and the caller's attempts. */
export interface IdempotencyModel {
    readonly page: ClaimPage;
    readonly revision: number;
    /** Writes that may still be applied after their sender has stopped waiting for them. */
    readonly delayedWrites: readonly SentWrite[];
    /** Nonces of all claims that were ever committed. */
    readonly committedNonces: readonly string[];
    readonly owners: readonly [OwnerModel, OwnerModel];
    readonly attempts: readonly AttemptModel[];
    readonly faultsLeft: number;
}

/** Idempotency key that all attempts use. */
export const EXPLORED_KEY = "k";

/** Limits of the partition, large enough that nothing expires during an exploration. */
export const EXPLORED_LIMITS: PartitionLimits = {
    retentionMs: 1_000_000,
    maxRunMs: 1_000_000,
    maxPageBytes: 100_000,
    maxAnswerBytes: 1000,
    retryAfterMs: 1000,
};

/**
 * Creates the initial state of the idempotency model.
 *
 * @param bodies - Request body of each attempt that the caller makes; equal letters stand for equal bodies
 * @param faults - Maximum number of faults in one trace
 * @returns the initial state
 *
 * @example
 * const initial = createIdempotencyModel(["x", "x"], 2);
 */
export function createIdempotencyModel(bodies: readonly ("x" | "y")[], faults: number): IdempotencyModel {
    return {
        page: EMPTY_PAGE,
        revision: 0,
        delayedWrites: [],
        committedNonces: [],
        owners: [createOwner("a"), createOwner("b")],
        attempts: bodies.map(body => ({ ...IDLE, body })),
        faultsLeft: faults,
    };
}

/**
 * Creates a host that has just started and has read nothing yet.
 *
 * @param writer - Name of the host's incarnation, with which the nonces of its writes begin
 * @returns the host
 *
 * @example
 * const owner = createOwner("a'");
 */
export function createOwner(writer: string): OwnerModel {
    return { state: createPartitionState(writer), isReading: false, write: undefined };
}

const IDLE: Omit<AttemptModel, "body"> = {
    phase: "idle",
    wasLost: false,
    reply: undefined,
    outcome: undefined,
    runs: 0,
};
