import type { ServeErrorDetails } from "@fulmarcleat/errors";
import type { ClaimReply } from "@fulmarcleat/wire";

/** Why a keyed request may not run. */
export interface ClaimFailure {
    readonly message: string;
    readonly details: ServeErrorDetails;
}

const STEP = { step: "claim key", peer: "KV" } as const;
const IN_PROGRESS_RETRY_MS = 1000;

/**
 * Reads the reply to a claim as what its caller is told.
 *
 * @param reply - The reply
 * @returns why the request may not run; undefined where it may
 *
 * @example
 * const failure = readClaimReply({ kind: "granted" }); // undefined
 */
export function readClaimReply(reply: ClaimReply): ClaimFailure | undefined {
    switch (reply.kind) {
        case "granted":
        case "free":
            return undefined;
        case "replay":
        case "ran":
            return {
                message: "the request of this key ran, and its answer is no longer kept",
                details: { ...STEP, code: "key_spent", outcome: "ran" },
            };
        case "in_progress":
            return {
                message: "the request of this key may still be running",
                details: {
                    ...STEP,
                    code: "key_in_progress",
                    outcome: "unknown",
                    retryAfterMs: IN_PROGRESS_RETRY_MS,
                },
            };
        case "unknown":
            return {
                message: "the request of this key may have run; it is not run again",
                details: { ...STEP, code: "key_spent", outcome: "unknown" },
            };
        case "key_reused":
            return {
                message: "the key stands for another request",
                details: { ...STEP, code: "key_reused", outcome: "not_run" },
            };
        case "unavailable":
            return {
                message: "keyed requests wait for the key-value service; nothing was run",
                details: { ...STEP, code: "kv_unavailable", outcome: "not_run", retryAfterMs: reply.retryAfterMs },
            };
        case "undecided":
            return {
                message: "the claim is undecided; the request was not started and its key stays spent",
                details: { ...STEP, code: "kv_unknown", outcome: "unknown" },
            };
    }
}
