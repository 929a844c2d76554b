import { repeat } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";

/** Turns of the event loop, for a process that is so busy that arrived bytes wait for seconds until they are read. */
export interface LoopTurns {
    /** Whether the process is behind, so that more may have arrived than it has read. */
    isBehind(): boolean;
    /** Resolves once everything that has arrived by now has been read. */
    readArrived(): Promise<void>;
    stop(): void;
}

/** Interval of the timer that shows whether the loop is behind, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Lateness of that timer from which the loop counts as behind, in milliseconds. */
const BEHIND_MS = 100;
/** Time for which the loop counts as behind after it was, in milliseconds. */
const MEMORY_MS = 1000;
/**
 * Turns until everything that has arrived has been read: a connection's bytes are read in one turn, its end in the next.
 */
const TURNS = 2;

/**
 * Creates the measure of the event loop's lateness.
 *
 * @param clock - Source of the monotonic time and timers
 * @param defer - Calls back after the events of the present turn, such as `setImmediate`
 * @returns the measure; the loop counts as on time at first
 *
 * @example
 * const turns = createLoopTurns(clock, setImmediate);
 */
export function createLoopTurns(clock: Clock, defer: (callback: () => void) => void): LoopTurns {
    let behindMs = -Infinity;
    let dueMs = clock.nowMs();
    const check = (): void => {
        const nowMs = clock.nowMs();
        if (nowMs - dueMs >= BEHIND_MS) {
            behindMs = nowMs;
        }
        dueMs = nowMs + CHECK_INTERVAL_MS;
    };
    const cancelChecks = repeat(clock, CHECK_INTERVAL_MS, check);
    return {
        isBehind() {
            const nowMs = clock.nowMs();
            return nowMs - dueMs >= BEHIND_MS || nowMs - behindMs < MEMORY_MS;
        },
        async readArrived() {
            for (let turn = 0; turn < TURNS; turn += 1) {
                await new Promise<void>(resolve => defer(resolve));
            }
        },
        stop: cancelChecks,
    };
}
