import { combineOutcomes } from "@fulmarcleat/errors";
import type { GiveUpReason, RequestEnd, RequestProgress } from "./applyAttempt.js";

/**
 * Ends a request with an engine's failed answer if there is one, otherwise with the combined outcome of its attempts.
 *
 * @param progress - State of the request after its attempts
 * @param reason - Why no further attempt is made
 * @param readyInMs - Expected time until the request could be served, in milliseconds
 * @returns the failed answer or a refusal
 *
 * @example
 * giveUp(NO_ATTEMPTS, "no_engine", 400); // its outcome is "not_run"
 */
export function giveUp(progress: RequestProgress, reason: GiveUpReason, readyInMs: number): RequestEnd {
    return progress.failedAnswer === undefined
        ? {
            kind: "gave_up",
            outcome: combineOutcomes(progress.outcomes),
            reason,
            sends: progress.sends,
            readyInMs,
        }
        : { kind: "answer", result: progress.failedAnswer };
}
