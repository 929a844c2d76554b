import type { CancelTimer, Clock } from "./clock.js";

/**
 * Runs a task now and then at an interval. A run that throws doesn't end the repetition; its error reaches the caller
 * of the first run, and the clock's owner after that.
 *
 * @param clock - Source of the timers
 * @param intervalMs - Time between the end of a run and the next one, in milliseconds
 * @param run - The task
 * @returns cancels the runs that remain
 *
 * @example
 * const cancel = repeat(clock, 500, () => check());
 */
export function repeat(clock: Clock, intervalMs: number, run: () => void): CancelTimer {
    let isCancelled = false;
    let cancelTimer: CancelTimer = () => undefined;
    const tick = (): void => {
        try {
            run();
        }
        finally {
            if (!isCancelled) {
                cancelTimer = clock.setTimer(intervalMs, tick);
            }
        }
    };
    tick();
    return () => {
        isCancelled = true;
        cancelTimer();
    };
}
