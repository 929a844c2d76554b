import type { Clock } from "./clock.js";

/**
 * Creates a clock that follows the machine's.
 *
 * @returns the clock
 *
 * @example
 * const startedMs = createSystemClock().nowMs();
 */
export function createSystemClock(): Clock {
    return {
        wallMs: () => Date.now(),
        nowMs: () => performance.now(),
        setTimer(delayMs, fire) {
            const timer = setTimeout(fire, delayMs);
            return () => clearTimeout(timer);
        },
    };
}
