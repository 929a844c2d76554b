import { createPartitionState, EMPTY_PAGE } from "@fulmarcleat/idempotency";
import type { ClaimPage, PartitionLimits, PartitionState } from "@fulmarcleat/idempotency";
import type { ClaimReply } from "@fulmarcleat/wire";

/** Which of the two hosts that serve the partition. */
export type OwnerIndex = 0 | 1;

/** A compare-and-swap on its way. */
export interface SentWrite {
    readonly expectedRevision: number;
    readonly page: ClaimPage;
    readonly nonce: string;
}

/** A host that serves the partition, with its calls that have no answer yet. */
export interface OwnerWorld {
    readonly state: PartitionState;
    readonly isReading: boolean;
    readonly write: (SentWrite & { readonly wasLost: boolean }) | undefined;
}

/** One attempt of the caller under the one key. */
export interface AttemptWorld {
    readonly body: "x" | "y";
    readonly phase: "idle" | "asked" | "granted" | "running" | "ending" | "closed";
    /** Whether an ask was sent whose reply never came. */
    readonly wasLost: boolean;
    /** What the asker was told of its claim. */
    readonly told: ClaimReply | undefined;
    /** How the run ended, as the caller was told. */
    readonly outcome: "ran" | "not_run" | "unknown" | undefined;
    readonly runs: number;
}

/** Everything that the exploration sees. */
export interface IdempotencyWorld {
    readonly page: ClaimPage;
    readonly revision: number;
    /** Writes that may still take effect, after everyone gave them up. */
    readonly late: readonly SentWrite[];
    /** Attempts whose claim was committed at some time. */
    readonly committed: readonly string[];
    readonly owners: readonly [OwnerWorld, OwnerWorld];
    readonly attempts: readonly AttemptWorld[];
    readonly faultsLeft: number;
}

/** The key that all attempts use. */
export const EXPLORED_KEY = "k";

/** Limits under which nothing expires while it is explored. */
export const EXPLORED_LIMITS: PartitionLimits = {
    retentionMs: 1_000_000,
    maxRunMs: 1_000_000,
    maxPageBytes: 100_000,
    maxAnswerBytes: 1000,
    retryAfterMs: 1000,
};

/**
 * Gives the world at its start.
 *
 * @param bodies - Body of each attempt that the caller makes
 * @param faults - How many faults may happen
 * @returns the world
 *
 * @example
 * const initial = createIdempotencyWorld(["x", "x"], 2);
 */
export function createIdempotencyWorld(bodies: readonly ("x" | "y")[], faults: number): IdempotencyWorld {
    return {
        page: EMPTY_PAGE,
        revision: 0,
        late: [],
        committed: [],
        owners: [createOwner("a"), createOwner("b")],
        attempts: bodies.map(body => ({ ...IDLE, body })),
        faultsLeft: faults,
    };
}

/**
 * Gives a host that has just started.
 *
 * @param writer - Name of its incarnation
 * @returns the host
 *
 * @example
 * const owner = createOwner("a'");
 */
export function createOwner(writer: string): OwnerWorld {
    return { state: createPartitionState(writer), isReading: false, write: undefined };
}

const IDLE: Omit<AttemptWorld, "body"> = {
    phase: "idle",
    wasLost: false,
    told: undefined,
    outcome: undefined,
    runs: 0,
};
