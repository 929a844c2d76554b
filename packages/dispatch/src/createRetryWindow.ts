/** Retries that one host may send to one service: requests beyond the first attempt. */
export interface RetryWindow {
    /** Records a client's request, which adds to the budget. */
    addRequest(atMs: number): void;
    /** Spends one retry if the budget allows it; returns whether it did. */
    trySpend(atMs: number): boolean;
}

/** The retry budget of a service, shared by all hosts. */
export interface RetryBudgetTerms {
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Retries allowed in each window in addition, over all hosts. */
    readonly reserve: number;
    readonly windowMs: number;
    /** Returns the number of hosts that share the reserve. */
    readonly countHosts: () => number;
}

/** Part of the budget that a host uses; the rest covers hosts that it doesn't know yet. */
const USABLE_PART = 0.8;

/**
 * Creates one host's part of a service's retry budget, counted over a sliding window.
 *
 * @param terms - Ratio, reserve, window length and number of hosts
 * @returns this host's part of the budget
 *
 * @example
 * const retryWindow = createRetryWindow({ ratio: 0.2, reserve: 52, windowMs: 10000, countHosts: () => 6 });
 */
export function createRetryWindow(terms: RetryBudgetTerms): RetryWindow {
    const requests: number[] = [];
    const spent: number[] = [];
    const removeExpired = (times: number[], atMs: number): void => {
        while (times.length > 0 && (times[0] ?? atMs) <= atMs - terms.windowMs) {
            times.shift();
        }
    };
    return {
        addRequest(atMs) {
            requests.push(atMs);
            removeExpired(requests, atMs);
        },
        trySpend(atMs) {
            removeExpired(requests, atMs);
            removeExpired(spent, atMs);
            const reserve = terms.reserve / Math.max(1, terms.countHosts());
            if (spent.length + 1 > (requests.length * terms.ratio + reserve) * USABLE_PART) {
                return false;
            }
            spent.push(atMs);
            return true;
        },
    };
}
