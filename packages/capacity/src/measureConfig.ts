import { applyChanges, EMPTY_SNAPSHOT } from "@fulmarcleat/resources";
import type { ConfigSnapshot } from "@fulmarcleat/resources";
import { buildChange } from "./buildChange.js";
import { buildResources } from "./buildResources.js";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { createMeasure } from "./createMeasure.js";
import { measureCpu } from "./measureCpu.js";
import { measureHeap } from "./measureHeap.js";

const ADAPTER_SIZES = [3000, 30_000, 110_000] as const;
const CHANGES = 50;

/**
 * Measures what the configuration costs a host, by the number of adapters.
 *
 * @returns heap kept, processor time of one change, and bytes of a whole set in JSON
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
