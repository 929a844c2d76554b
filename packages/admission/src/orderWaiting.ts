/** What the order of waiting requests depends on. */
export interface WaitingOrder {
    readonly priority: "urgent" | "normal" | "bulk";
    readonly arrivedMs: number;
}

/** Time that orders the queue. */
export interface OrderWaitingOptions {
    readonly nowMs: number;
    /** Wait after which a request counts one class more urgent, in milliseconds. */
    readonly agingMs: number;
}

const CLASS_RANK = { urgent: 0, normal: 1, bulk: 2 } as const;

/**
 * Orders waiting requests: urgent first, each class moving up as it waits, then by arrival.
 *
 * @param waiting - The waiting requests
 * @param options - Present time and aging
 * @returns the requests in the order in which to serve them
 *
 * @example
 * const [next] = orderWaiting(waiting, { nowMs, agingMs: 5000 });
 */
export function orderWaiting<T extends WaitingOrder>(
    waiting: readonly T[],
    options: OrderWaitingOptions,
): readonly T[] {
    return [...waiting].sort((a, b) => rank(a, options) - rank(b, options) || a.arrivedMs - b.arrivedMs);
}

function rank(entry: WaitingOrder, options: OrderWaitingOptions): number {
    const steps = Math.floor(Math.max(0, options.nowMs - entry.arrivedMs) / options.agingMs);
    return CLASS_RANK[entry.priority] - steps;
}
