import type { EngineReport } from "@fulmarcleat/drivers";
import type { Metrics } from "@fulmarcleat/events";

/**
 * Counts the used and the offered slots of an engine's batch while requests wait.
 *
 * The ratio of the two counters is the batch efficiency.
 *
 * @param metrics - Receives the two counters
 * @param report - The engine's latest report
 * @param waiting - Number of requests that wait at the engine's owner
 * @returns nothing
 *
 * @example
 * countBatch(metrics, report, state.waiting.length);
 */
export function countBatch(metrics: Metrics, report: EngineReport, waiting: number): void {
    const isFull = report.waiting + waiting > 0;
    metrics.count("batch_places_used_total", {}, isFull ? report.running : 0);
    metrics.count("batch_places_offered_total", {}, isFull ? report.batchSlots : 0);
}
