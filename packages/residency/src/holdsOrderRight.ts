import type { ClockReading } from "@fulmarcleat/ids";

/**
 * Time for which an owner may order an engine that checks no fences after it has sent the call to the store that last
 * showed its claim, in milliseconds. Owners go on ordering through shorter outages of the store; a host that can't ask
 * an owner waits for its end before it orders itself.
 */
export const ORDER_RIGHT_MS = 8000;

/**
 * Tells whether an owner may still order an engine that checks no fences. Either clock ends the right: the monotonic
 * one doesn't count the time of a suspended host, and the wall clock may be set back.
 *
 * @param confirmedFrom - When the call to the store was sent whose reply last showed the claim; undefined before
 * @param now - Present readings of the same clocks
 * @returns whether an order may be sent now
 *
 * @example
 * holdsOrderRight({ nowMs: 0, wallMs: 0 }, { nowMs: 7999, wallMs: 8000 }); // false
 */
export function holdsOrderRight(confirmedFrom: ClockReading | undefined, now: ClockReading): boolean {
    return confirmedFrom !== undefined
        && Math.max(now.nowMs - confirmedFrom.nowMs, now.wallMs - confirmedFrom.wallMs) < ORDER_RIGHT_MS;
}
