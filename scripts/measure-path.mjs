// Measures what a gateway adds to a request, against direct calls to the engine stand-in, in one run.
import { startFleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { Agent } from "undici";

const KEY = "measure-key";
const MODEL = "levy@7";
const ROUNDS = 5;
const CONCURRENCY = 16;
const REQUESTS = 160;
const SHORT = 1;
const LONG = 201;
const SINGLE_REQUESTS = 200;
const US_PER_MS = 1000;

const fleet = await startFleet({
    gateways: 1,
    engines: 1,
    failureDomains: ["wien-a"],
    engine: { tokenMs: 2, batchSlots: 64 },
    weights: { startsPerSecond: undefined, loadMs: 10 },
    resources: [
        { kind: "Policy", metadata: { name: "default" }, spec: { engineBatchSlots: 64 } },
        {
            kind: "Adapter",
            metadata: { name: "levy" },
            spec: { baseModel: "base-13b", versions: [{ version: "7", weights: "levy/7" }] },
        },
        { kind: "Caller", metadata: { name: "linz" }, spec: { keyHashes: [hashSecret(KEY)] } },
        {
            kind: "Offer",
            metadata: { name: "levy-linz" },
            spec: { adapter: "levy", versions: ["7"], callers: ["linz"], priority: "normal" },
        },
    ],
});
const [gateway] = fleet.gateways;
const [engine] = fleet.engines;
await gateway.configReached(fleet.changes);
const dispatcher = new Agent();
let lastId = 0;

async function send(origin, model, tokens) {
    lastId += 1;
    const startMs = performance.now();
    const res = await dispatcher.request({
        origin,
        method: "POST",
        path: "/v1/completions",
        headers: { authorization: `Bearer ${KEY}`, "content-type": "application/json" },
        body: JSON.stringify({
            model,
            prompt: "measure",
            max_tokens: tokens,
            stream: true,
            request_id: `direct-${lastId}`,
        }),
    });
    let firstMs;
    let text = "";
    for await (const bytes of res.body) {
        firstMs ??= performance.now() - startMs;
        text += bytes;
    }
    if (res.statusCode !== 200 || !text.endsWith("data: [DONE]\n\n")) {
        throw new Error(`status ${res.statusCode}: ${text.slice(-300)}`);
    }
    return firstMs;
}

async function measureCpu(origin, model, tokens) {
    const before = process.cpuUsage();
    let left = REQUESTS;
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
        while (left > 0) {
            left -= 1;
            await send(origin, model, tokens);
        }
    }));
    const used = process.cpuUsage(before);
    return (used.user + used.system) / REQUESTS;
}

function median(values) {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

await send(gateway.url, MODEL, LONG);
const instance = engine.record().runs[0].instance;
const ways = { direct: [engine.url, instance], gateway: [gateway.url, MODEL] };
const cpu = { direct: { short: [], long: [] }, gateway: { short: [], long: [] } };
for (let round = 0; round <= ROUNDS; round += 1) {
    for (const [way, [origin, model]] of Object.entries(ways)) {
        const short = await measureCpu(origin, model, SHORT);
        const long = await measureCpu(origin, model, LONG);
        if (round > 0) {
            cpu[way].short.push(short);
            cpu[way].long.push(long);
        }
    }
}
const first = { direct: [], gateway: [] };
for (let at = 0; at < SINGLE_REQUESTS; at += 1) {
    for (const [way, [origin, model]] of Object.entries(ways)) {
        first[way].push(await send(origin, model, SHORT));
    }
}
await dispatcher.close();
await fleet.stop();

function summarize(way) {
    const perToken = (median(cpu[way].long) - median(cpu[way].short)) / (LONG - SHORT);
    return {
        perRequestUs: median(cpu[way].short) - perToken * SHORT,
        perTokenUs: perToken,
        firstTokenMs: median(first[way]),
    };
}
const direct = summarize("direct");
const through = summarize("gateway");
const rows = {
    "first token": [direct.firstTokenMs, through.firstTokenMs, "ms"],
    "CPU per request": [direct.perRequestUs / US_PER_MS, through.perRequestUs / US_PER_MS, "ms"],
    "CPU per token": [direct.perTokenUs, through.perTokenUs, "us"],
};
console.log("direct: client and engine stand-in; through: client, gateway and engine stand-in; all in one process");
for (const [name, [without, by, unit]] of Object.entries(rows)) {
    console.log(
        `${name}: direct ${without.toFixed(2)} ${unit}, through the gateway ${by.toFixed(2)} ${unit}, `
            + `added ${(by - without).toFixed(2)} ${unit}, ratio ${(by / without).toFixed(2)}`,
    );
}
