import type { CallerName } from "@fulmarcleat/ids";
import { rankWaiting } from "./rankWaiting.js";

/** Properties of a waiting request that determine its order. */
export interface WaitingRequest {
    readonly priority: "urgent" | "normal" | "bulk";
    readonly arrivedMs: number;
    readonly caller: CallerName;
}

/** Current time, aging and weights that order the queue. */
export interface OrderWaitingOptions {
    readonly nowMs: number;
    /** Wait after which a request moves up by one class, in milliseconds. */
    readonly agingMs: number;
    /** Returns a caller's weight in the division of batch slots; the weight is 1 if undefined. */
    readonly readWeight?: (caller: CallerName) => number;
}

/** A waiting request with its rank and its caller's turn, which advances more slowly for a higher weight. */
interface Turn<T> {
    readonly entry: T;
    readonly rank: number;
    readonly turn: number;
}

/**
 * Orders waiting requests by class, which moves up with the wait, then by turns of the callers according to weight.
 *
 * @param waiting - Requests in the queue, in any order
 * @param options - Current time, aging and weights
 * @returns the same requests, the next to serve first
 *
 * @example
 * const [next] = orderWaiting(waiting, { nowMs, agingMs: 5000 });
 */
export function orderWaiting<T extends WaitingRequest>(
    waiting: readonly T[],
    options: OrderWaitingOptions,
): readonly T[] {
    const counts = new Map<string, number>();
    const turns = [...waiting].sort((a, b) => a.arrivedMs - b.arrivedMs).map((entry): Turn<T> => {
        const rank = rankWaiting(entry, options);
        const key = `${rank} ${entry.caller}`;
        const count = (counts.get(key) ?? 0) + 1;
        counts.set(key, count);
        return { entry, rank, turn: count / (options.readWeight?.(entry.caller) ?? 1) };
    });
    return turns
        .sort((a, b) => a.rank - b.rank || a.turn - b.turn || a.entry.arrivedMs - b.entry.arrivedMs)
        .map(({ entry }) => entry);
}
