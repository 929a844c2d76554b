import { applyChanges, EMPTY_SNAPSHOT } from "@fulmarcleat/resources";
import type { ConfigSnapshot } from "@fulmarcleat/resources";
import { buildChange } from "./buildChange.js";
import { buildResources } from "./buildResources.js";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { createMeasure } from "./createMeasure.js";
import { measureCpu } from "./measureCpu.js";
import { measureHeap } from "./measureHeap.js";

/** Numbers of adapters at which the configuration is measured. */
const ADAPTER_SIZES = [3000, 30_000, 110_000] as const;
/** Number of changes whose processor time is averaged. */
const CHANGES = 50;

/**
 * Measures the cost of the configuration on a host, by the number of adapters.
 *
 * @returns the heap of a snapshot, the processor time of applying one change, and the size of all resources as JSON
 *
 * @example
 * const measures = measureConfig();
 */
export function measureConfig(): readonly CapacityMeasure[] {
    return [
        createMeasure(
            { name: "configuration: heap", size: "adapters", unit: "bytes" },
            ADAPTER_SIZES,
            adapters => measureHeap(() => buildSnapshot(adapters)),
        ),
        createMeasure(
            { name: "configuration: one change applied", size: "adapters", unit: "us" },
            ADAPTER_SIZES,
            measureChange,
        ),
        createMeasure(
            { name: "configuration: whole set in JSON", size: "adapters", unit: "bytes" },
            ADAPTER_SIZES,
            adapters => JSON.stringify(buildResources(adapters)).length,
        ),
    ];
}

function buildSnapshot(adapters: number): ConfigSnapshot {
    return applyChanges(EMPTY_SNAPSHOT, buildResources(adapters).map((resource, at) => buildChange(at + 1, resource)));
}

function measureChange(adapters: number): number {
    let snapshot = buildSnapshot(adapters);
    const [resource] = buildResources(1);
    return measureCpu(CHANGES, () => {
        if (resource !== undefined) {
            snapshot = applyChanges(snapshot, [buildChange(snapshot.seq + 1, resource)]);
        }
    });
}
