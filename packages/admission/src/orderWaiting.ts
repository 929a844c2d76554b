import type { CallerName } from "@fulmarcleat/ids";
import { rankWaiting } from "./rankWaiting.js";

/** What the order of waiting requests depends on. */
export interface WaitingOrder {
    readonly priority: "urgent" | "normal" | "bulk";
    readonly arrivedMs: number;
    readonly caller: CallerName;
}

/** Time that orders the queue. */
export interface OrderWaitingOptions {
    readonly nowMs: number;
    /** Wait after which a request counts one class more urgent, in milliseconds. */
    readonly agingMs: number;
    /** Share of a caller in the places, as a weight; 1 where undefined. */
    readonly readWeight?: (caller: CallerName) => number;
}

interface Turn<T> {
    readonly entry: T;
    readonly rank: number;
    readonly turn: number;
}

/**
 * Orders waiting requests: urgent first, each class moving up as it waits, then callers in turn by weight.
 *
 * @param waiting - The waiting requests
 * @param options - Present time, aging and weights
 * @returns the requests in the order in which to serve them
 *
 * @example
 * const [next] = orderWaiting(waiting, { nowMs, agingMs: 5000 });
 */
export function orderWaiting<T extends WaitingOrder>(
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
