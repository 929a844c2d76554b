import { joinOutcomes } from "@fulmarcleat/errors";
import type { GiveUpReason, RequestEnd, RequestProgress } from "./applyAttempt.js";

/**
 * Ends a request that is given up: with an engine's failure where there is one, else with what its attempts came to.
 *
 * @param progress - What the request has tried
 * @param reason - Why it is given up
 * @param readyInMs - When it might be served, in milliseconds
 * @returns the end
 *
 * @example
 * giveUp(NOTHING_TRIED, "no_engine", 400); // its outcome is "not_run"
 */
export function giveUp(progress: RequestProgress, reason: GiveUpReason, readyInMs: number): RequestEnd {
    return progress.failedAnswer === undefined
        ? { kind: "gave_up", outcome: joinOutcomes(progress.outcomes), reason, readyInMs }
        : { kind: "answer", result: progress.failedAnswer };
}
