import type { EngineReport } from "@fulmarcleat/drivers";
import { createMetrics } from "@fulmarcleat/events";
import { brandId } from "@fulmarcleat/ids";
import type { Incarnation } from "@fulmarcleat/ids";
import { registerTable } from "@fulmarcleat/testing";
import { countBatch } from "./countBatch.js";

registerTable("countBatch", (running: number, atEngine: number, atOwner: number) => {
    const metrics = createMetrics();
    const report: EngineReport = {
        incarnation: brandId<Incarnation>("i1"),
        instances: [],
        running,
        waiting: atEngine,
        batchSlots: 16,
        adapterPlaces: 8,
    };
    countBatch(metrics, report, atOwner);
    return ["batch_places_used_total", "batch_places_offered_total"].map(name => metrics.read(name));
});
