import type { Outcome } from "./outcome.js";

/**
 * Tells what became of a request from what became of its attempts: it did not run only where none of them did.
 *
 * @param outcomes - Outcome of each attempt; none where nothing was sent
 * @returns the request's outcome
 *
 * @example
 * joinOutcomes(["unknown", "not_run"]); // "unknown"
 */
export function joinOutcomes(outcomes: readonly Outcome[]): Outcome {
    if (outcomes.includes("ran")) {
        return "ran";
    }
    return outcomes.includes("unknown") ? "unknown" : "not_run";
}
