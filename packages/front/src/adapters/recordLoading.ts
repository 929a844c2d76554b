import type { EngineId } from "@fulmarcleat/ids";
import type { OwnerReport } from "@fulmarcleat/wire";
import type { RequestedAdapter } from "../startAdapterTracker.js";

/** An owner's last report on its engine. */
export interface ReceivedReport {
    readonly report: OwnerReport;
    readonly atMs: number;
}

/**
 * Records a load that was just accepted, so that the next request counts on it before the next owner report.
 *
 * @param ownerReports - Last report of each engine's owner
 * @param engine - Engine that loads the adapter
 * @param requestedAdapter - Adapter with the oldest acceptable version
 * @param readyInMs - Time until the load is expected to be done, in milliseconds
 * @param atMs - Current time, in milliseconds
 * @returns nothing
 *
 * @example
 * recordLoading(ownerReports, engine, { model, adapter, version }, 288, clock.nowMs());
 */
export function recordLoading(
    ownerReports: Map<EngineId, ReceivedReport>,
    engine: EngineId,
    { adapter, version }: RequestedAdapter,
    readyInMs: number,
    atMs: number,
): void {
    const received = ownerReports.get(engine);
    if (received !== undefined) {
        const ageMs = atMs - received.atMs;
        const others = received.report.adapters.filter(held => held.adapter !== adapter);
        const adapters = [...others, {
            adapter,
            version,
            readyInMs: readyInMs === 0 ? 0 : readyInMs + ageMs,
            isUsed: true,
        }];
        ownerReports.set(engine, { report: { ...received.report, adapters }, atMs: received.atMs });
    }
}
