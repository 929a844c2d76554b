import type { Clock } from "./clock.js";

/** A clock whose time changes only by calls of `advance`. */
export interface ManualClock extends Clock {
    /** Advances the time by `byMs` milliseconds and fires the timers that fall due, in order. */
    advance(byMs: number): void;
}

interface PendingTimer {
    readonly atMs: number;
    /** Timers of the same moment fire in the order in which they were set. */
    readonly number: number;
    readonly fire: () => void;
    isCancelled: boolean;
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
    let lastNumber = 0;
    const heap: PendingTimer[] = [];
    return {
        wallMs: () => nowMs,
        nowMs: () => nowMs,
        setTimer(delayMs, fire) {
            lastNumber += 1;
            const timer: PendingTimer = { atMs: nowMs + delayMs, number: lastNumber, fire, isCancelled: false };
            pushTimer(heap, timer);
            return () => void (timer.isCancelled = true);
        },
        advance(byMs) {
            const endMs = nowMs + byMs;
            for (let next = heap[0]; next !== undefined && next.atMs <= endMs; next = heap[0]) {
                popTimer(heap);
                if (!next.isCancelled) {
                    nowMs = Math.max(nowMs, next.atMs);
                    next.fire();
                }
            }
            nowMs = endMs;
        },
    };
}

function isBefore(first: PendingTimer, second: PendingTimer): boolean {
    return first.atMs < second.atMs || (first.atMs === second.atMs && first.number < second.number);
}

/** Adds a timer to a binary heap whose first timer is the next one. */
function pushTimer(heap: PendingTimer[], timer: PendingTimer): void {
    let at = heap.push(timer) - 1;
    while (at > 0) {
        const above = (at - 1) >> 1;
        const parent = heap[above];
        if (parent === undefined || !isBefore(timer, parent)) {
            break;
        }
        heap[at] = parent;
        at = above;
    }
    heap[at] = timer;
}

/** Removes the first timer of the heap. */
function popTimer(heap: PendingTimer[]): void {
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
        return;
    }
    let at = 0;
    for (;;) {
        const left = 2 * at + 1;
        const [first, second] = [heap[left], heap[left + 1]];
        const isSecond = first !== undefined && second !== undefined && isBefore(second, first);
        const child = isSecond ? second : first;
        if (child === undefined || !isBefore(child, last)) {
            break;
        }
        heap[at] = child;
        at = isSecond ? left + 1 : left;
    }
    heap[at] = last;
}
