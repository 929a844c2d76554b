import type { OrderWaitingOptions, WaitingRequest } from "./orderWaiting.js";

const CLASS_RANK = { urgent: 0, normal: 1, bulk: 2 } as const;

/**
 * Ranks a waiting request by its class, one class more urgent for each aging time that it has waited.
 *
 * @param entry - Class and arrival time of the request
 * @param options - Current time and aging
 * @returns the rank; the lowest rank is served first
 *
 * @example
 * const rank = rankWaiting(waiting, { nowMs, agingMs: 5000 });
 */
export function rankWaiting(
    entry: Pick<WaitingRequest, "priority" | "arrivedMs">,
    options: Pick<OrderWaitingOptions, "nowMs" | "agingMs">,
): number {
    const steps = Math.floor(Math.max(0, options.nowMs - entry.arrivedMs) / options.agingMs);
    return CLASS_RANK[entry.priority] - steps;
}
