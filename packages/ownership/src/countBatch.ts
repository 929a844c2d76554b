import type { EngineReport } from "@fulmarcleat/drivers";
import type { Metrics } from "@fulmarcleat/events";

/**
 * Counts how full an engine's batch is while work waits; used over offered places is the batch efficiency.
 *
 * @param metrics - Where to count
 * @param report - The engine's report
 * @param waiting - Requests that wait at the engine's owner
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
