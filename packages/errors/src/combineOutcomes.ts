import type { Outcome } from "./outcome.js";

/**
 * Combines the outcomes of a request's attempts. The request did not run only if none of its attempts ran.
 *
 * @param outcomes - Outcome of each attempt; empty if nothing was sent
 * @returns the outcome of the request
 *
 * @example
 * combineOutcomes(["unknown", "not_run"]); // "unknown"
 */
export function combineOutcomes(outcomes: readonly Outcome[]): Outcome {
    if (outcomes.includes("ran")) {
        return "ran";
    }
    return outcomes.includes("unknown") ? "unknown" : "not_run";
}
