import type { EventLog } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";

/** Whether the store answers this process. */
export interface StoreHealth {
    readonly isAvailable: boolean;
    /** Takes in how a call ended. */
    note(hasAnswered: boolean, step: string): void;
    /** Calls a listener when the store answers again after a time without. */
    onReturn(listener: () => void): void;
}

/** Failed calls in a row after which the store counts as away. */
const FAILURES_UNTIL_AWAY = 2;

/**
 * Creates the record of the store's answers.
 *
 * @param clock - The clock
 * @param log - Where losing and regaining the store are written
 * @returns the record
 *
 * @example
 * const health = createStoreHealth(clock, log);
 */
export function createStoreHealth(clock: Clock, log: EventLog): StoreHealth {
    const listeners: (() => void)[] = [];
    let failures = 0;
    let awaySinceMs: number | undefined;
    return {
        get isAvailable() {
            return awaySinceMs === undefined;
        },
        note(hasAnswered, step) {
            if (!hasAnswered) {
                failures += 1;
                if (failures >= FAILURES_UNTIL_AWAY && awaySinceMs === undefined) {
                    awaySinceMs = clock.nowMs();
                    log.write("warn", 600, { step });
                }
                return;
            }
            failures = 0;
            if (awaySinceMs !== undefined) {
                log.write("info", 601, { step, awayMs: Math.round(clock.nowMs() - awaySinceMs) });
                awaySinceMs = undefined;
                listeners.forEach(listener => listener());
            }
        },
        onReturn: listener => void listeners.push(listener),
    };
}
