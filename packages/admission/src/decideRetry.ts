/** What the retry of a failed attempt depends on. */
export interface RetryState {
    /** Attempts so far, from 1. */
    readonly attempt: number;
    readonly maxAttempts: number;
    /** Whether another run is harmless and the failure may pass. */
    readonly isRetryable: boolean;
    /** Retries that the host may still make. */
    readonly tokens: number;
    /** Time that the request has left, in milliseconds. */
    readonly timeLeftMs: number;
    /** A random number in [0, 1). */
    readonly draw: number;
}

/** Whether and when an attempt is repeated. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly delayMs: number }
    | {
        readonly kind: "give_up";
        readonly reason: "not_retryable" | "too_many_attempts" | "budget_spent" | "no_time";
    };

const BASE_DELAY_MS = 20;

/**
 * Decides whether a failed attempt is repeated, after a random delay that doubles with each attempt.
 *
 * @param state - Attempts, budget and time left
 * @returns the decision; a request that is given up gets its answer at once
 *
 * @example
 * const decision = decideRetry(state);
 */
export function decideRetry(state: RetryState): RetryDecision {
    if (!state.isRetryable) {
        return { kind: "give_up", reason: "not_retryable" };
    }
    if (state.attempt >= state.maxAttempts) {
        return { kind: "give_up", reason: "too_many_attempts" };
    }
    if (state.tokens < 1) {
        return { kind: "give_up", reason: "budget_spent" };
    }
    const delayMs = Math.round(BASE_DELAY_MS * 2 ** (state.attempt - 1) * state.draw);
    return delayMs >= state.timeLeftMs ? { kind: "give_up", reason: "no_time" } : { kind: "retry", delayMs };
}
