import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";

/** Lines of an error's stack that show which timer has failed. */
const STACK_LINES = 3;

/**
 * Wraps a clock so that a timer's callback that throws is logged and counted, and doesn't end the process. A repeated
 * task is set again before its error gets here; what a single timer was to do is left undone.
 *
 * @param clock - Source of time and timers
 * @param output - Log and counters
 * @returns the clock with guarded timers
 *
 * @example
 * const clock = guardClock(createSystemClock(), { log, metrics });
 */
export function guardClock(
    clock: Clock,
    { log, metrics }: { readonly log: EventLog; readonly metrics: Pick<Metrics, "count"> },
): Clock {
    return {
        wallMs: () => clock.wallMs(),
        nowMs: () => clock.nowMs(),
        setTimer: (delayMs, fire) =>
            clock.setTimer(delayMs, () => {
                try {
                    fire();
                }
                catch (err) {
                    metrics.count("task_failures_total", { step: "timer" });
                    log.write("error", 110, { step: "timer", reason: describe(err) });
                }
            }),
    };
}

function describe(err: unknown): string {
    return err instanceof Error
        ? (err.stack ?? err.message).split("\n").slice(0, STACK_LINES).map(line => line.trim()).join(" ")
        : String(err);
}
