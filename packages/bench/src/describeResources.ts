import { FLEET_BASE_MODEL } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { formatAdapter, formatModel } from "./formatModel.js";

/**
 * Formats the bearer key of a caller of the benchmark.
 *
 * @param caller - Number of the caller, from 0
 * @returns the key
 *
 * @example
 * formatCallerKey(0); // "bench-key-of-caller-0"
 */
export function formatCallerKey(caller: number): string {
    return `bench-key-of-caller-${caller}`;
}

/**
 * Creates the callers, adapters and offers of the benchmark.
 *
 * @param models - Number of adapter versions
 * @param callers - Number of callers; each adapter is offered to all of them
 * @returns the resources, to be applied to the fleet
 *
 * @example
 * await fleet.apply(describeResources(3000, 8));
 */
export function describeResources(models: number, callers: number): readonly unknown[] {
    const versions = new Map<string, string[]>();
    for (let model = 0; model < models; model += 1) {
        const adapter = formatAdapter(model);
        versions.set(adapter, [...versions.get(adapter) ?? [], formatModel(model).slice(adapter.length + 1)]);
    }
    const callerNames = Array.from({ length: callers }, (unused, at) => `caller-${at}`);
    return [
        ...callerNames.map((name, at) => ({
            kind: "Caller",
            metadata: { name },
            spec: { keyHashes: [hashSecret(formatCallerKey(at))] },
        })),
        ...[...versions].flatMap(([adapter, offered]) => [
            {
                kind: "Adapter",
                metadata: { name: adapter },
                spec: {
                    baseModel: FLEET_BASE_MODEL,
                    versions: offered.map(version => ({ version, weights: `${adapter}/${version}` })),
                },
            },
            {
                kind: "Offer",
                metadata: { name: adapter },
                spec: { adapter, versions: offered, callers: callerNames, priority: "urgent" },
            },
        ]),
    ];
}
