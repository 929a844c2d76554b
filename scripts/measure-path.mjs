// Measures the latency and CPU time that a gateway adds to a request, compared with direct calls to an engine stand-in.
import { startFleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";
import { Agent } from "undici";

const KEY = "measure-key";
const MODEL = "levy@7";
/** Number of measured rounds; one unmeasured round before them warms up the code. */
const ROUNDS = 5;
/** Number of concurrent requests in a round. */
const CONCURRENCY = 16;
/** Number of requests to each target in a round, for each answer length. */
const REQUESTS_PER_ROUND = 160;
/** Number of tokens of a short answer. */
const SHORT_ANSWER_TOKENS = 1;
/** Number of tokens of a long answer. */
const LONG_ANSWER_TOKENS = 201;
/** Number of requests to each target whose time to the first byte is measured. */
const LATENCY_REQUESTS = 200;
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

/** Sends one request, checks its answer and returns the time to the first byte, in milliseconds. */
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

/** Returns the CPU time of the whole process per request, in microseconds. */
async function measureCpu(origin, model, tokens) {
    const before = process.cpuUsage();
    let remaining = REQUESTS_PER_ROUND;
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
        while (remaining > 0) {
            remaining -= 1;
            await send(origin, model, tokens);
        }
    }));
    const used = process.cpuUsage(before);
    return (used.user + used.system) / REQUESTS_PER_ROUND;
}

function median(values) {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

await send(gateway.url, MODEL, LONG_ANSWER_TOKENS);
const instance = engine.record().runs[0].instance;
const targets = { direct: [engine.url, instance], gateway: [gateway.url, MODEL] };
const cpuTimes = { direct: { short: [], long: [] }, gateway: { short: [], long: [] } };
for (let round = 0; round <= ROUNDS; round += 1) {
    for (const [target, [origin, model]] of Object.entries(targets)) {
        const short = await measureCpu(origin, model, SHORT_ANSWER_TOKENS);
        const long = await measureCpu(origin, model, LONG_ANSWER_TOKENS);
        if (round > 0) {
            cpuTimes[target].short.push(short);
            cpuTimes[target].long.push(long);
        }
    }
}
const firstByteTimes = { direct: [], gateway: [] };
for (let index = 0; index < LATENCY_REQUESTS; index += 1) {
    for (const [target, [origin, model]] of Object.entries(targets)) {
        firstByteTimes[target].push(await send(origin, model, SHORT_ANSWER_TOKENS));
    }
}
await dispatcher.close();
await fleet.stop();

function summarize(target) {
    const perToken = (median(cpuTimes[target].long) - median(cpuTimes[target].short))
        / (LONG_ANSWER_TOKENS - SHORT_ANSWER_TOKENS);
    return {
        perRequestUs: median(cpuTimes[target].short) - perToken * SHORT_ANSWER_TOKENS,
        perTokenUs: perToken,
        firstTokenMs: median(firstByteTimes[target]),
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
for (const [name, [directValue, throughValue, unit]] of Object.entries(rows)) {
    console.log(
        `${name}: direct ${directValue.toFixed(2)} ${unit}, through the gateway ${throughValue.toFixed(2)} ${unit}, `
            + `added ${(throughValue - directValue).toFixed(2)} ${unit}, ratio ${
                (throughValue / directValue).toFixed(2)
            }`,
    );
}
