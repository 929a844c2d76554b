/** A budget of calls: so many a second, and a burst. */
export interface CallBudget {
    readonly callsPerSecond: number;
    readonly burst: number;
}

/** Tokens left at a time; below zero where calls wait. */
export interface CallTokens {
    readonly tokens: number;
    readonly atMs: number;
}

/** The tokens after a call, and how long the call waits. */
export interface TakenToken {
    readonly tokens: CallTokens;
    readonly waitMs: number;
}

const MS_PER_SECOND = 1000;

/**
 * Takes one call out of a budget.
 *
 * @param tokens - What was left
 * @param budget - The budget
 * @param nowMs - Time, in milliseconds
 * @returns what is left, and how long this call waits
 *
 * @example
 * const { waitMs } = takeCallToken({ tokens: 1, atMs: 0 }, { callsPerSecond: 10, burst: 1 }, 0);
 */
export function takeCallToken(tokens: CallTokens, budget: CallBudget, nowMs: number): TakenToken {
    const refilled = tokens.tokens + Math.max(0, nowMs - tokens.atMs) * budget.callsPerSecond / MS_PER_SECOND;
    const left = Math.min(budget.burst, refilled) - 1;
    const waitMs = left >= 0 ? 0 : Math.ceil(-left * MS_PER_SECOND / budget.callsPerSecond);
    return { tokens: { tokens: left, atMs: nowMs }, waitMs };
}
