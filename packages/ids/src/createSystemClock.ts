import type { Clock } from "./clock.js";

/**
 * Creates a clock that reads the system time and uses Node.js timers.
 *
 * @returns the system clock
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
