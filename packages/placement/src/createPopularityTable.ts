import { decayRate } from "./decayRate.js";
import type { DecayedRate } from "./decayRate.js";

/** Request rates of adapters, including those that are not loaded. */
export interface PopularityTable {
    /** Records one request for an adapter. */
    record(model: string, nowMs: number): void;
    /** Returns an adapter's requests per second, weighted from its short-term and long-term rate. */
    rate(model: string, nowMs: number): number;
    readonly size: number;
}

/** Size and decay times of a popularity table. */
export interface PopularityOptions {
    /** Maximum number of adapters in the table. */
    readonly limit: number;
    /** Time in which the short-term rate decays to 1/e, in milliseconds. */
    readonly recentMs: number;
    /** Time in which the long-term rate decays to 1/e, in milliseconds. */
    readonly longMs: number;
    /** Weight of the short-term rate in the result, from 0 to 1. */
    readonly recentShare: number;
}

interface Entry {
    readonly recent: DecayedRate;
    readonly long: DecayedRate;
}

/** Options that the gateways use. */
export const DEFAULT_POPULARITY: PopularityOptions = {
    limit: 4096,
    recentMs: 15_000,
    longMs: 200_000,
    recentShare: 0.05,
};

/**
 * Creates an empty popularity table; the least recently requested adapter is dropped first.
 *
 * @param options - Size and decay times
 * @returns the empty table
 *
 * @example
 * const popularity = createPopularityTable(DEFAULT_POPULARITY);
 */
export function createPopularityTable(options: PopularityOptions): PopularityTable {
    const entries = new Map<string, Entry>();
    const { limit, recentMs, longMs, recentShare } = options;
    return {
        record(model, nowMs) {
            const entry = entries.get(model);
            entries.delete(model);
            entries.set(model, {
                recent: decayRate(entry?.recent, 1, nowMs, recentMs),
                long: decayRate(entry?.long, 1, nowMs, longMs),
            });
            if (entries.size > limit) {
                entries.delete(entries.keys().next().value ?? "");
            }
        },
        rate(model, nowMs) {
            const entry = entries.get(model);
            if (entry === undefined) {
                return 0;
            }
            const recent = decayRate(entry.recent, 0, nowMs, recentMs).perSecond;
            const long = decayRate(entry.long, 0, nowMs, longMs).perSecond;
            return recent * recentShare + long * (1 - recentShare);
        },
        get size() {
            return entries.size;
        },
    };
}
