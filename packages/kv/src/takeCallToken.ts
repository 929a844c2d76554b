/** Token bucket for calls: its refill rate and its capacity. */
export interface CallBudget {
    readonly callsPerSecond: number;
    /** Largest number of calls that may be made at once. */
    readonly burst: number;
}

/** Tokens left at `atMs`, in milliseconds; negative while calls are delayed. */
export interface CallTokens {
    readonly tokens: number;
    readonly atMs: number;
}

/** Tokens left after a call and the delay of that call, in milliseconds. */
export interface TakenToken {
    readonly tokens: CallTokens;
    readonly waitMs: number;
}

const MS_PER_SECOND = 1000;

/**
 * Takes the token for one call from a budget.
 *
 * @param tokens - Tokens left after the previous call
 * @param budget - Refill rate and capacity
 * @param nowMs - Current time, in milliseconds
 * @returns the tokens left and the delay of this call
 *
 * @example
 * const { waitMs } = takeCallToken({ tokens: 1, atMs: 0 }, { callsPerSecond: 10, burst: 1 }, 0);
 */
export function takeCallToken(tokens: CallTokens, budget: CallBudget, nowMs: number): TakenToken {
    const refilled = tokens.tokens + Math.max(0, nowMs - tokens.atMs) * budget.callsPerSecond / MS_PER_SECOND;
    const remaining = Math.min(budget.burst, refilled) - 1;
    const waitMs = remaining >= 0 ? 0 : Math.ceil(-remaining * MS_PER_SECOND / budget.callsPerSecond);
    return { tokens: { tokens: remaining, atMs: nowMs }, waitMs };
}
