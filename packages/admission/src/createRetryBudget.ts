import type { Random } from "@fulmarcleat/ids";

/** Retries that one host may make, as a share of its requests. */
export interface RetryBudget {
    /** Takes in a first attempt. */
    deposit(): void;
    /** Takes out one retry. */
    spend(): void;
    readonly tokens: number;
    /** A number in [0, 1) that spreads the waits before retries. */
    draw(): number;
}

/** Retries that a quiet host may make, and the most that are saved up. */
const RESERVED_RETRIES = 20;

/**
 * Creates a host's retry budget.
 *
 * @param readShare - Gives the retries allowed for each request
 * @param random - Spreads the waits before retries
 * @returns the budget
 *
 * @example
 * const retries = createRetryBudget(() => policy.retryShare, createRandom(7));
 */
export function createRetryBudget(readShare: () => number, random: Random): RetryBudget {
    let tokens = RESERVED_RETRIES;
    return {
        deposit() {
            tokens = Math.min(RESERVED_RETRIES, tokens + readShare());
        },
        spend() {
            tokens -= 1;
        },
        get tokens() {
            return tokens;
        },
        draw: () => random.next(),
    };
}
