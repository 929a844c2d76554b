/** Times at which refused clients of one account are told to return. */
export interface ReturnSlots {
    /**
     * Books the return of a client whose request has this cost; returns the time until then, in milliseconds.
     * `readyInMs` is the time until a request may fit.
     */
    book(cost: number, readyInMs: number, perSecond: number, atMs: number): number;
}

/** Time after a request may fit within which all refused clients return, in milliseconds. */
const SPREAD_MS = 4000;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Creates the return times of an account's refused clients. Without them all would return at the moment at which the
 * first request fits, and all but a few would be refused again.
 *
 * @returns the return times, none booked
 *
 * @example
 * const slots = createReturnSlots();
 * slots.book(5000, 300, 29_000, clock.nowMs()); // 300, the next one 472
 */
export function createReturnSlots(): ReturnSlots {
    let bookedMs = -Infinity;
    return {
        book(cost, readyInMs, perSecond, atMs) {
            const firstMs = atMs + readyInMs;
            // Beyond the spread, returns are booked from its beginning again.
            const returnMs = bookedMs > firstMs + SPREAD_MS ? firstMs : Math.max(bookedMs, firstMs);
            bookedMs = returnMs + cost * MS_PER_S / perSecond;
            return returnMs - atMs;
        },
    };
}
