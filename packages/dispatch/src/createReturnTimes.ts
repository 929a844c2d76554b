/** A client that is refused while all engines of a service pause. */
export interface ReturnTerms {
    /** Priority of its request; 0 is the most urgent. */
    readonly priority: number;
    /** Clock reading at which the first engine takes requests again, in milliseconds. */
    readonly opensAtMs: number;
    readonly atMs: number;
}

/** Times at which the clients that one host refuses are told to return. */
export interface ReturnTimes {
    /** Books the return of a client; returns the time until then, in milliseconds. */
    book(terms: ReturnTerms): number;
}

/** Time between the returns of two clients, in milliseconds. */
const SPACING_MS = 40;
/** Time after the first engine opens within which all clients return, in milliseconds. */
const SPREAD_MS = 1500;

/**
 * Creates the return times of clients that are refused while all engines of a service pause. Without them, the clients
 * would return in one burst when the pause ends. The most urgent ones return first, the others behind them.
 *
 * @returns the return times, none booked
 *
 * @example
 * const returnTimes = createReturnTimes();
 * returnTimes.book({ priority: 0, opensAtMs: 2000, atMs: 0 }); // 2000
 */
export function createReturnTimes(): ReturnTimes {
    /** Clock readings up to which returns are booked, by priority. */
    const bookedMs = new Map<number, number>();
    return {
        book({ priority, opensAtMs, atMs }) {
            const firstMs = Math.max(opensAtMs, atMs);
            const booked = [...bookedMs].filter(([other]) => other <= priority).map(([, untilMs]) => untilMs);
            const nextMs = Math.max(firstMs, ...booked);
            // Beyond the spread, returns are booked from its beginning again.
            const returnMs = nextMs < firstMs + SPREAD_MS ? nextMs : firstMs;
            bookedMs.set(priority, returnMs + SPACING_MS);
            return returnMs - atMs;
        },
    };
}
