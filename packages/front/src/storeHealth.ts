import type { EventLog } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";

/** Tracks whether the store answers this process. */
export interface StoreHealth {
    /** Whether the store counts as available. */
    readonly isAvailable: boolean;
    /** Records whether a call to the store was answered. */
    recordCall(hasAnswered: boolean, step: string): void;
    /** Calls a listener when the store answers again after it was unavailable. */
    onRecovery(listener: () => void): void;
}

/** Consecutive failed calls after which the store counts as unavailable. */
const FAILURES_UNTIL_UNAVAILABLE = 2;

/**
 * Creates a record of whether the store answers.
 *
 * @param clock - Source of the monotonic time
 * @param log - Receives an event when the store becomes unavailable or available again
 * @returns the record; the store counts as available at first
 *
 * @example
 * const health = createStoreHealth(clock, log);
 */
export function createStoreHealth(clock: Clock, log: EventLog): StoreHealth {
    const listeners: (() => void)[] = [];
    let failures = 0;
    let unavailableSinceMs: number | undefined;
    return {
        get isAvailable() {
            return unavailableSinceMs === undefined;
        },
        recordCall(hasAnswered, step) {
            if (!hasAnswered) {
                failures += 1;
                if (failures >= FAILURES_UNTIL_UNAVAILABLE && unavailableSinceMs === undefined) {
                    unavailableSinceMs = clock.nowMs();
                    log.write("warn", 600, { step });
                }
                return;
            }
            failures = 0;
            if (unavailableSinceMs !== undefined) {
                log.write("info", 601, { step, awayMs: Math.round(clock.nowMs() - unavailableSinceMs) });
                unavailableSinceMs = undefined;
                listeners.forEach(listener => listener());
            }
        },
        onRecovery: listener => void listeners.push(listener),
    };
}
