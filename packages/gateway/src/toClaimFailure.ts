import type { ServeErrorDetails } from "@fulmarcleat/errors";
import type { ClaimReply } from "@fulmarcleat/wire";

/** Reason why a keyed request may not run. */
export interface ClaimFailure {
    readonly message: string;
    readonly details: ServeErrorDetails;
}

const STEP = { step: "claim key", peer: "KV" } as const;
/** Retry delay sent to callers whose key is in progress, in milliseconds. */
const IN_PROGRESS_RETRY_MS = 1000;

/**
 * Converts the reply to a claim into the error for the caller.
 *
 * @param reply - Reply of the partition's owner
 * @returns message and error details, or undefined if the request may run
 *
 * @example
 * const failure = toClaimFailure({ kind: "granted" }); // undefined
 */
export function toClaimFailure(reply: ClaimReply): ClaimFailure | undefined {
    switch (reply.kind) {
        case "granted":
        case "free":
            return undefined;
        case "replay":
        case "ran":
            return {
                message: "the request with this key ran, but its answer is no longer stored",
                details: { ...STEP, code: "key_spent", outcome: "ran" },
            };
        case "in_progress":
            return {
                message: "the request with this key may still be running",
                details: {
                    ...STEP,
                    code: "key_in_progress",
                    outcome: "unknown",
                    retryAfterMs: IN_PROGRESS_RETRY_MS,
                },
            };
        case "unknown":
            return {
                message: "the request with this key may have run and is not run again",
                details: { ...STEP, code: "key_spent", outcome: "unknown" },
            };
        case "key_reused":
            return {
                message: "the key was already used for a different request",
                details: { ...STEP, code: "key_reused", outcome: "not_run" },
            };
        case "unavailable":
            return {
                message: "the key-value service is unavailable; the keyed request was not run",
                details: {
                    ...STEP,
                    code: "kv_unavailable",
                    outcome: "not_run",
                    retryAfterMs: reply.retryAfterMs,
                },
            };
        case "undecided":
            return {
                message:
                    "the result of the claim is unknown; the request was not started and its key can't be used again",
                details: { ...STEP, code: "kv_unknown", outcome: "unknown" },
            };
    }
}
