import { buildOfferIndex } from "@fulmarcleat/gateway";
import { brandId } from "@fulmarcleat/ids";
import type { ChangeId, OperatorName } from "@fulmarcleat/ids";
import { applyChanges, createSnapshot, hashSecret, resourceSchema } from "@fulmarcleat/resources";
import type { ConfigChange, Resource } from "@fulmarcleat/resources";

/** Numbers of adapters, each with one offer. */
const ADAPTER_COUNTS = [3000, 30_000, 110_000] as const;
const CALLER_COUNT = 100;
/** Changes applied one after the other at each size. */
const CHANGE_COUNT = 200;
const BYTES_PER_MB = 1024 * 1024;
const US_PER_MS = 1000;

function createResources(adapters: number): readonly Resource[] {
    const callers = Array.from({ length: CALLER_COUNT }, (unused, at) => ({
        kind: "Caller",
        metadata: { name: `caller-${at}` },
        spec: { keyHashes: [hashSecret(`${at}`)] },
    }));
    const adaptersAndOffers = Array.from({ length: adapters }, (unused, at) => [
        {
            kind: "Adapter",
            metadata: { name: `adapter-${at}` },
            spec: { baseModel: "base-13b", versions: [{ version: "1", weights: `adapter-${at}/1` }] },
        },
        createOffer(at, "normal"),
    ]);
    return [...callers, ...adaptersAndOffers.flat()].map(resource => resourceSchema.parse(resource));
}

function createOffer(at: number, priority: string): unknown {
    return {
        kind: "Offer",
        metadata: { name: `offer-${at}` },
        spec: { adapter: `adapter-${at}`, versions: ["1"], callers: [`caller-${at % CALLER_COUNT}`], priority },
    };
}

function createChange(seq: number, at: number): ConfigChange {
    return {
        seq,
        changeId: brandId<ChangeId>(`c${seq}`),
        by: brandId<OperatorName>("operator"),
        atMs: 0,
        op: { kind: "put", resource: resourceSchema.parse(createOffer(at, "urgent")) },
    };
}

process.stdout.write(
    "| adapters | whole snapshot and index, ms | one change, us | whole : one | heap, MB |\n|---|---|---|---|---|\n",
);
for (const adapters of ADAPTER_COUNTS) {
    global.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const resources = createResources(adapters);
    const startMs = performance.now();
    let snapshot = createSnapshot(0, resources);
    const index = buildOfferIndex(snapshot);
    const fullBuildMs = performance.now() - startMs;
    global.gc?.();
    const heapMb = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_MB;
    const changes = Array.from({ length: CHANGE_COUNT }, (unused, at) => createChange(at + 1, (at * 37) % adapters));
    const changeStartMs = performance.now();
    for (const change of changes) {
        snapshot = applyChanges(snapshot, [change]);
        index.update(snapshot, [change]);
    }
    const usPerChange = (performance.now() - changeStartMs) * US_PER_MS / CHANGE_COUNT;
    const cells = [
        adapters,
        fullBuildMs.toFixed(0),
        usPerChange.toFixed(0),
        Math.round(fullBuildMs * US_PER_MS / usPerChange),
        heapMb.toFixed(0),
    ];
    process.stdout.write(`| ${cells.join(" | ")} |\n`);
}
