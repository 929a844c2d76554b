import { FLEET_BASE_MODEL } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { formatAdapter, formatModel } from "./formatModel.js";

/** Key of a caller of the bench. */
export function formatCallerKey(caller: number): string {
    return `bench-key-of-caller-${caller}`;
}

/**
 * Describes the adapters, offers and callers of a bench.
 *
 * @param models - How many adapter versions there are
 * @param callers - How many callers there are
 * @returns the resources
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
    const names = Array.from({ length: callers }, (unused, at) => `caller-${at}`);
    return [
        ...names.map((name, at) => ({
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
                spec: { adapter, versions: offered, callers: names, priority: "urgent" },
            },
        ]),
    ];
}
