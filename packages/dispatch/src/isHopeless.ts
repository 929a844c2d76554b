/** What a request can still wait for its first byte. */
export interface PatienceTerms {
    /** Expected time to the first byte at the best engine, in milliseconds. */
    readonly expectedMs: number;
    /** Time since the request came, in milliseconds. */
    readonly waitedMs: number;
    /** Time within which an answer is on time, in milliseconds. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time that the client still has, in milliseconds. */
    readonly leftMs: number;
}

/** Clients leave a stream without a byte after this time or a multiple of its goal, whichever is longer, in milliseconds. */
const SHORTEST_PATIENCE_MS = 2000;
/** Multiple of its goal after which a client leaves a stream without a byte; the platform states it. */
const GOALS_OF_PATIENCE = 4;
/** Waits beyond this multiple of the goal keep engines from requests that can still be on time. */
const GOALS_OF_WAIT = 1.5;
/** The same for the most urgent kind: it is not refused while less urgent ones of its service are served. */
const GOALS_OF_URGENT_WAIT = 3;
/** Part of a client's patience that an estimate may use up; estimates err. */
const USED_PART = 0.85;

/**
 * Tells whether a request's first byte would come only after its client has left.
 *
 * @param terms - The estimate and the client's time
 * @returns whether it is better refused at once
 *
 * @example
 * isHopeless({ expectedMs: 4000, waitedMs: 0, goalMs: 600, priority: 1, leftMs: 15000 }); // true
 */
export function isHopeless({ expectedMs, waitedMs, goalMs, priority, leftMs }: PatienceTerms): boolean {
    const patienceMs = Math.max(SHORTEST_PATIENCE_MS, goalMs * GOALS_OF_PATIENCE) * USED_PART;
    const waitMs = goalMs * (priority === 0 ? GOALS_OF_URGENT_WAIT : GOALS_OF_WAIT);
    return expectedMs > Math.min(waitMs, patienceMs - waitedMs, leftMs);
}
