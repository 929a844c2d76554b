import type { Clock } from "./clock.js";

/** A clock that moves only when told to. */
export interface ManualClock extends Clock {
    /** Moves time on and fires the timers that fall due, in order. */
    advance(byMs: number): void;
}

interface PendingTimer {
    readonly atMs: number;
    readonly fire: () => void;
}

/**
 * Creates a clock for tests and benchmarks of decisions.
 *
 * @param startMs - Time at the start, in milliseconds
 * @returns the clock
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
            for (let next = findNext(pending, endMs); next !== undefined; next = findNext(pending, endMs)) {
                pending.delete(next);
                nowMs = next.atMs;
                next.fire();
            }
            nowMs = endMs;
        },
    };
}

function findNext(pending: ReadonlySet<PendingTimer>, endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of pending) {
        if (timer.atMs <= endMs && (next === undefined || timer.atMs < next.atMs)) {
            next = timer;
        }
    }
    return next;
}
