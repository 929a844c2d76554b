// Measures the heap usage of an idle gateway for a number of configured adapters. Requires node --expose-gc.
import { CONFIG_LOG_KEY } from "@fulmarcleat/config";
import { startFleet } from "@fulmarcleat/fleet";
import { choosePage, hashSecret, resourceSchema } from "@fulmarcleat/resources";

/** Wait before the heap is read, so that pending work completes, in milliseconds. */
const SETTLE_MS = 3000;
const BYTES_PER_MB = 1024 * 1024;
const adapters = Number(process.argv[2] ?? 3000);

const fleet = await startFleet({
    gateways: 0,
    engines: 6,
    failureDomains: ["wien-a", "wien-b", "linz-c"],
    listsEngines: false,
});

function buildAdapter(number) {
    const name = `adapter-${number}`;
    return [
        {
            kind: "Adapter",
            metadata: { name },
            spec: { baseModel: "base-13b", versions: [{ version: "1", weights: `${name}/1` }] },
        },
        {
            kind: "Offer",
            metadata: { name: `${name}-members` },
            spec: { adapter: name, versions: ["1"], callers: ["members"], priority: "normal" },
        },
    ];
}

async function writeKey(key, value) {
    const outcome = await fleet.kvClient.write({
        purpose: "config",
        key,
        expectedRevision: 0,
        value: JSON.stringify(value),
        isOwn: () => true,
    });
    if (outcome.kind !== "applied") {
        throw new Error(`${key}: ${outcome.kind}`);
    }
}

async function readHeapMb() {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed / BYTES_PER_MB;
}

/** Writes the resources as compaction of the configuration log does, and returns the last sequence number. */
async function writeResources() {
    const pages = new Map();
    let seq = 0;
    const addResource = resource => {
        seq += 1;
        const checked = resourceSchema.parse(resource);
        const number = choosePage(checked.metadata.name);
        pages.set(number, [...pages.get(number) ?? [], {
            ...checked,
            metadata: { ...checked.metadata, generation: 1, resourceVersion: seq },
        }]);
    };
    addResource({ kind: "Caller", metadata: { name: "members" }, spec: { keyHashes: [hashSecret("key")] } });
    for (let number = 1; number <= adapters; number += 1) {
        buildAdapter(number).forEach(addResource);
    }
    for (const [number, resources] of pages) {
        await writeKey(`config/page/${number}`, { appliedSeq: seq, resources });
    }
    await writeKey(CONFIG_LOG_KEY, { baseSeq: seq, changes: [] });
    return seq;
}

const seq = await writeResources();
const heapBeforeMb = await readHeapMb();
const gateway = await fleet.startGateway(1);
await gateway.ready;
await gateway.configReached(seq);
const heapAfterMb = await readHeapMb();
console.log(
    `${adapters} adapters with an offer each: an idle gateway holds ${
        (heapAfterMb - heapBeforeMb).toFixed(1)
    } MB of heap`,
);
await gateway.stop();
await fleet.stop();
