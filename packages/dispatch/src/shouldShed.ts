import { estimateClientPatience } from "./estimateClientPatience.js";

/** Inputs to the decision whether to shed a request. */
export interface ShedTerms {
    /** Expected time to the first byte at the best engine, in milliseconds. */
    readonly expectedMs: number;
    /** Time since the request arrived, in milliseconds. */
    readonly waitedMs: number;
    /** Time within which the first byte is on time, in milliseconds. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time until the client's deadline, in milliseconds. */
    readonly leftMs: number;
}

/** Longest accepted wait as a multiple of the goal; longer waits take capacity from requests that can be on time. */
const MAX_WAIT_GOAL_FACTOR = 1.5;
/** Wait limit of the most urgent class as a multiple of the goal; less urgent requests of a service are shed first. */
const MAX_URGENT_WAIT_GOAL_FACTOR = 3;
/** Part of the client's waiting time that an estimate may use; the rest allows for estimation errors. */
const USED_PART = 0.85;

/**
 * Tells whether a request should be shed because its first byte would come too late.
 *
 * @param terms - Expected wait, goal, priority and the client's remaining time
 * @returns true if the request should be rejected at once
 *
 * @example
 * shouldShed({ expectedMs: 4000, waitedMs: 0, goalMs: 600, priority: 1, leftMs: 15000 }); // true
 */
export function shouldShed({ expectedMs, waitedMs, goalMs, priority, leftMs }: ShedTerms): boolean {
    const clientWaitMs = estimateClientPatience(goalMs) * USED_PART;
    const maxWaitMs = goalMs * (priority === 0 ? MAX_URGENT_WAIT_GOAL_FACTOR : MAX_WAIT_GOAL_FACTOR);
    return expectedMs > Math.min(maxWaitMs, clientWaitMs - waitedMs, leftMs);
}
