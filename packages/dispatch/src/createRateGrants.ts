/** A host's request to send one request to an engine. */
export interface GrantTerms {
    /** Priority of the client's request; 0 is the most urgent. */
    readonly priority: number;
    /** Whether the host asks here since the granter ranked before could not be reached; that one may still grant. */
    readonly isSubstitute: boolean;
    readonly atMs: number;
}

/** Whether one request may be sent to an engine. */
export type RateGrant =
    | { readonly kind: "granted" }
    /** `readyInMs` is the expected time until a request is granted, in milliseconds. */
    | { readonly kind: "refused"; readonly readyInMs: number };

/** Grants of requests to one engine that has named a limit; the granter decides for all hosts. */
export interface RateGrants {
    /** Sets the limit, in requests a second from all hosts together. */
    setRate(perSecond: number): void;
    /** Sets the clock readings at which a host has sent requests without a grant, in milliseconds. */
    setSends(host: string, sentMs: readonly number[]): void;
    request(terms: GrantTerms): RateGrant;
}

interface Grant {
    readonly atMs: number;
    readonly cost: number;
}

/** Span over which engines count requests, in milliseconds. */
const WINDOW_MS = 4000;
/** Requests that an engine takes in a window beyond its rate. A substitute, at half the rate, adds at most half of it. */
const WINDOW_EXTRA = 3;
/** Grants that a request costs at a substitute, which so grants at half the rate. */
const SUBSTITUTE_COST = 2;
/** Most grants that are saved up while none is asked for. */
const BURST = 3;
/** Time at the rate that is saved up in addition, in milliseconds. */
const BURST_MS = 400;
/** Rate at an engine that names a lower one, in requests a second: one request at times shows whether it still does. */
const MIN_PER_S = 0.1;
/** Time for which a refused request of higher priority is expected to return, in milliseconds. */
const RETURN_MS = 2500;
/** Longest time until which requests are spread over the rate, in milliseconds. */
const MAX_READY_MS = 4000;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Creates the grants of requests to one engine: a token bucket, and a sliding window that also counts what hosts have
 * sent before they knew of the limit. The last grant is kept for requests of higher priority that were refused.
 *
 * @param perSecond - The limit, in requests a second from all hosts together
 * @param atMs - Clock reading, in milliseconds
 * @returns the grants, with one to start with
 *
 * @example
 * const grants = createRateGrants(1.4, clock.nowMs());
 * grants.request({ priority: 0, isSubstitute: false, atMs: clock.nowMs() }); // { kind: "granted" }
 */
export function createRateGrants(perSecond: number, atMs: number): RateGrants {
    let rate = 0;
    let tokens = 1;
    let refilledMs = atMs;
    let windowSize = 0;
    let grants: Grant[] = [];
    const sendsByHost = new Map<string, readonly number[]>();
    const refusedMs = new Map<number, number>();
    /** Clock readings up to which refused requests are expected to return, by priority. */
    const bookedMs = new Map<number, number>();

    const setRate = (next: number): void => {
        rate = Math.max(next, MIN_PER_S);
        windowSize = next * WINDOW_MS / MS_PER_S + WINDOW_EXTRA;
    };
    const refill = (nowMs: number): void => {
        const limit = BURST + rate * BURST_MS / MS_PER_S;
        tokens = Math.min(limit, tokens + Math.max(0, nowMs - refilledMs) * rate / MS_PER_S);
        refilledMs = nowMs;
    };
    /** Lists what the window counts, oldest first. */
    const listCounted = (nowMs: number): readonly Grant[] => {
        grants = grants.filter(grant => nowMs - grant.atMs < WINDOW_MS);
        const sends = [...sendsByHost.values()].flat().filter(sentMs => nowMs - sentMs < WINDOW_MS);
        return sends.length === 0
            ? grants
            : [...grants, ...sends.map(sentMs => ({ atMs: sentMs, cost: 1 }))].sort((a, b) => a.atMs - b.atMs);
    };
    /** Returns the time until the window has room for so many, in milliseconds. */
    const findWindowWait = (needed: number, nowMs: number): number => {
        const counted = listCounted(nowMs);
        let excess = counted.reduce((sum, { cost }) => sum + cost, 0) + needed - windowSize;
        let waitMs = 0;
        for (const grant of counted) {
            if (excess <= 0) {
                break;
            }
            excess -= grant.cost;
            waitMs = grant.atMs + WINDOW_MS - nowMs;
        }
        return waitMs;
    };
    const isMoreUrgentExpected = (priority: number, nowMs: number): boolean =>
        [...refusedMs].some(([other, atRefusalMs]) => other < priority && nowMs - atRefusalMs < RETURN_MS);
    setRate(perSecond);
    return {
        setRate,
        setSends: (host, sentMs) =>
            void (sentMs.length === 0 ? sendsByHost.delete(host) : sendsByHost.set(host, sentMs)),
        request({ priority, isSubstitute, atMs: nowMs }) {
            refill(nowMs);
            const cost = isSubstitute ? SUBSTITUTE_COST : 1;
            const needed = cost + (isMoreUrgentExpected(priority, nowMs) ? 1 : 0);
            const tokenWaitMs = Math.max(0, needed - tokens) * MS_PER_S / rate;
            const waitMs = Math.max(tokenWaitMs, findWindowWait(needed, nowMs));
            if (waitMs === 0) {
                tokens -= cost;
                grants.push({ atMs: nowMs, cost });
                refusedMs.delete(priority);
                return { kind: "granted" };
            }
            refusedMs.set(priority, nowMs);
            const booked = [...bookedMs].filter(([other]) => other <= priority).map(([, untilMs]) => untilMs);
            const readyMs = Math.min(Math.max(nowMs + waitMs, ...booked), nowMs + MAX_READY_MS);
            bookedMs.set(priority, readyMs + cost * MS_PER_S / rate);
            return { kind: "refused", readyInMs: readyMs - nowMs };
        },
    };
}
