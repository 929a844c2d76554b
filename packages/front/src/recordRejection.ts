import type { EventLog, Metrics } from "@fulmarcleat/events";

/**
 * Logs and counts the failure of a call that nothing waits for. The call has ended where it failed; tasks that repeat
 * catch their own failures.
 *
 * @param output - Log and counters
 * @param err - Why the call was rejected
 * @returns nothing
 *
 * @example
 * process.on("unhandledRejection", err => recordRejection({ log, metrics }, err));
 */
export function recordRejection(
    { log, metrics }: { readonly log: EventLog; readonly metrics: Pick<Metrics, "count"> },
    err: unknown,
): void {
    metrics.count("task_failures_total", { step: "call" });
    log.write("error", 110, { step: "call", reason: err instanceof Error ? err.stack ?? err.message : String(err) });
}
