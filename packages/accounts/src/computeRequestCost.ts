import type { RateLimit } from "@fulmarcleat/directory";

/**
 * Computes what a request costs of its account's rate limit.
 *
 * @param limit - The account's limit
 * @param tokens - Prompt length and maximum output length that the request states; undefined if it states none
 * @returns the cost in the limit's unit
 *
 * @example
 * computeRequestCost({ unit: "tokens", perSecond: 29_000, burst: 58_000, requestTokens: 900 }, undefined); // 900
 */
export function computeRequestCost(
    limit: RateLimit,
    tokens: { readonly prompt: number; readonly maxOutput: number } | undefined,
): number {
    switch (limit.unit) {
        case "requests":
            return 1;
        case "tokens":
            return tokens === undefined ? limit.requestTokens : Math.max(0, tokens.prompt + tokens.maxOutput);
    }
}
