/** Inputs to the decision whether to retry a failed attempt. */
export interface RetryState {
    /** Number of attempts so far, including the first. */
    readonly attempt: number;
    readonly maxAttempts: number;
    /** Whether the request is safe to run again and the failure may be transient. */
    readonly isRetryable: boolean;
    /** Retries left in the host's budget. */
    readonly tokens: number;
    /** Time until the request's deadline, in milliseconds. */
    readonly timeLeftMs: number;
    /** Random number in [0, 1), used as jitter. */
    readonly draw: number;
}

/** Whether and when a failed attempt is retried. */
export type RetryDecision =
    | { readonly kind: "retry"; readonly delayMs: number }
    | {
        readonly kind: "give_up";
        readonly reason: "not_retryable" | "too_many_attempts" | "budget_spent" | "no_time";
    };

const BASE_DELAY_MS = 20;

/**
 * Decides whether a failed attempt is retried, after a random delay whose limit doubles with each attempt.
 *
 * @param state - Attempts, budget and time left of the request
 * @returns the decision; a request that is not retried is answered at once
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
