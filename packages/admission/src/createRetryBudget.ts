import type { Random } from "@fulmarcleat/ids";

/** Retry budget of one host, as a share of its requests. */
export interface RetryBudget {
    /** Adds a first attempt's share to the budget. */
    deposit(): void;
    /** Spends one retry. */
    spend(): void;
    readonly tokens: number;
    /** Returns a random number in [0, 1), used as jitter for the delay before a retry. */
    draw(): number;
}

/** Initial number of retries, and the most that accumulate. */
const RESERVED_RETRIES = 20;

/**
 * Creates a host's retry budget with its initial reserve.
 *
 * @param readShare - Returns the retries allowed per request
 * @param random - Source of the jitter before retries
 * @returns the host's budget
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
