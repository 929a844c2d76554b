import { decayRate } from "./decayRate.js";
import type { DecayedRate } from "./decayRate.js";

/** How often each adapter is asked for; also of those that are not loaded. */
export interface PopularityTable {
    /** Takes in one request. */
    record(model: string, nowMs: number): void;
    /** Requests a second for an adapter, by its recent and its longer past. */
    rate(model: string, nowMs: number): number;
    readonly size: number;
}

/** Sizes and times of a popularity table. */
export interface PopularityOptions {
    /** Adapters that are remembered. */
    readonly limit: number;
    /** Time in which the recent rate fades to 1/e, in milliseconds. */
    readonly recentMs: number;
    /** Time in which the longer rate fades to 1/e, in milliseconds. */
    readonly longMs: number;
    /** Share of the recent rate in the result, 0 to 1. */
    readonly recentShare: number;
}

interface Entry {
    readonly recent: DecayedRate;
    readonly long: DecayedRate;
}

/** Popularity as the gateways keep it. */
export const DEFAULT_POPULARITY: PopularityOptions = {
    limit: 4096,
    recentMs: 15_000,
    longMs: 200_000,
    recentShare: 0.05,
};

/**
 * Creates an empty table; the adapter that was asked for longest ago is forgotten first.
 *
 * @param options - Sizes and times
 * @returns the table
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
