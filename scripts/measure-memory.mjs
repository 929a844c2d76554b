// Measures the heap of one idle gateway by the number of adapters configured. Needs node --expose-gc.
import { CONFIG_LOG_KEY } from "@fulmarcleat/config";
import { startFleet } from "@fulmarcleat/fleet";
import { choosePage, hashSecret, resourceSchema } from "@fulmarcleat/resources";

const SETTLE_MS = 3000;
const BYTES_PER_MB = 1024 * 1024;
const adapters = Number(process.argv[2] ?? 3000);

const fleet = await startFleet({
    gateways: 0,
    engines: 6,
    failureDomains: ["wien-a", "wien-b", "linz-c"],
    listsEngines: false,
});

function describeAdapter(number) {
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

async function write(key, value) {
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

async function readHeap() {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed / BYTES_PER_MB;
}

/** Writes the resources as a compacted log leaves them. */
async function fill() {
    const pages = new Map();
    let seq = 0;
    const put = resource => {
        seq += 1;
        const checked = resourceSchema.parse(resource);
        const number = choosePage(checked.metadata.name);
        pages.set(number, [...pages.get(number) ?? [], {
            ...checked,
            metadata: { ...checked.metadata, generation: 1, resourceVersion: seq },
        }]);
    };
    put({ kind: "Caller", metadata: { name: "members" }, spec: { keyHashes: [hashSecret("key")] } });
    for (let number = 1; number <= adapters; number += 1) {
        describeAdapter(number).forEach(put);
    }
    for (const [number, resources] of pages) {
        await write(`config/page/${number}`, { appliedSeq: seq, resources });
    }
    await write(CONFIG_LOG_KEY, { baseSeq: seq, changes: [] });
    return seq;
}

const seq = await fill();
const before = await readHeap();
const gateway = await fleet.startGateway(1);
await gateway.ready;
await gateway.configReached(seq);
const after = await readHeap();
console.log(`${adapters} adapters with an offer each: an idle gateway holds ${(after - before).toFixed(1)} MB of heap`);
await gateway.stop();
await fleet.stop();
