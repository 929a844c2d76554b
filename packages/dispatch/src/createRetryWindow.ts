/** Arrivals beyond the first that one host may cause at one service. */
export interface RetryWindow {
    /** Takes in a client's request. */
    addRequest(atMs: number): void;
    /** Takes an arrival beyond the first where the budget allows it. */
    trySpend(atMs: number): boolean;
}

/** The shared budget that a host's part is taken from. */
export interface RetryBudgetTerms {
    /** Arrivals beyond the first for each request. */
    readonly ratio: number;
    /** Arrivals beyond the first in each window besides, over all hosts. */
    readonly reserve: number;
    readonly windowMs: number;
    /** Hosts that share the reserve. */
    readonly countHosts: () => number;
}

/** Part of the budget that is used; the rest covers hosts that this one does not know yet. */
const USED_PART = 0.8;

/**
 * Creates one host's part of a service's retry budget, counted over a sliding window.
 *
 * @param terms - The shared budget
 * @returns the host's part
 *
 * @example
 * const budget = createRetryWindow({ ratio: 0.2, reserve: 52, windowMs: 10000, countHosts: () => 6 });
 */
export function createRetryWindow(terms: RetryBudgetTerms): RetryWindow {
    const requests: number[] = [];
    const spent: number[] = [];
    const forget = (times: number[], atMs: number): void => {
        while (times.length > 0 && (times[0] ?? atMs) <= atMs - terms.windowMs) {
            times.shift();
        }
    };
    return {
        addRequest(atMs) {
            requests.push(atMs);
            forget(requests, atMs);
        },
        trySpend(atMs) {
            forget(requests, atMs);
            forget(spent, atMs);
            const reserve = terms.reserve / Math.max(1, terms.countHosts());
            if (spent.length + 1 > (requests.length * terms.ratio + reserve) * USED_PART) {
                return false;
            }
            spent.push(atMs);
            return true;
        },
    };
}
