import type { Clock } from "./clock.js";

/** A clock whose time changes only by calls of `advance`. */
export interface ManualClock extends Clock {
    /** Advances the time by `byMs` milliseconds and fires the timers that fall due, in order. */
    advance(byMs: number): void;
}

interface PendingTimer {
    readonly atMs: number;
    readonly fire: () => void;
}

/**
 * Creates a manually advanced clock for tests and benchmarks.
 *
 * @param startMs - Initial wall and monotonic time, in milliseconds
 * @returns a clock set to `startMs`
 *
 * @example
 * const clock = createManualClock(0);
 * clock.advance(1000);
 */
export function createManualClock(startMs: number): ManualClock {
    let nowMs = startMs;
    const pending = new Set<PendingTimer>();
    return {
        wallMs: () => nowMs,
        nowMs: () => nowMs,
        setTimer(delayMs, fire) {
            const timer: PendingTimer = { atMs: nowMs + delayMs, fire };
            pending.add(timer);
            return () => pending.delete(timer);
        },
        advance(byMs) {
            const endMs = nowMs + byMs;
            for (let next = findNextTimer(pending, endMs); next !== undefined; next = findNextTimer(pending, endMs)) {
                pending.delete(next);
                nowMs = next.atMs;
                next.fire();
            }
            nowMs = endMs;
        },
    };
}

function findNextTimer(pending: ReadonlySet<PendingTimer>, endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of pending) {
        if (timer.atMs <= endMs && (next === undefined || timer.atMs < next.atMs)) {
            next = timer;
        }
    }
    return next;
}
