import { startFleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";

const KEY = "measure-key";
const RUNS = 5;
const REQUESTS = 200;
const POLL_MS = 5;
const EXCHANGES = ["place", "placeEnd", "placesHeld"];

function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitFor(isMet) {
    while (!isMet()) {
        await pause(POLL_MS);
    }
}

async function open(gateways, changed = {}) {
    const fleet = await startFleet({
        gateways,
        engines: 2,
        failureDomains: ["wien-a"],
        fencing: "checked",
        resources: [
            { kind: "Caller", metadata: { name: "c" }, spec: { keyHashes: [hashSecret(KEY)] } },
            { kind: "Policy", metadata: { name: "policy" }, spec: { replicaRate: 1000, storeLoadsPerSecond: 50 } },
            ...listAdapters(),
        ],
        ...changed,
    });
    await Promise.all(fleet.gateways.map(gateway => gateway.configReached(fleet.changes)));
    await waitFor(() => fleet.gateways.flatMap(gateway => gateway.ownedEngines).length === fleet.engines.length);
    return fleet;
}

function listAdapters() {
    return Array.from({ length: 8 }, (unused, at) => `a${at}`).flatMap(name => [
        {
            kind: "Adapter",
            metadata: { name },
            spec: { baseModel: "base-13b", versions: [{ version: "1", weights: `${name}/1` }] },
        },
        {
            kind: "Offer",
            metadata: { name },
            spec: { adapter: name, versions: ["1"], callers: ["c"], priority: "normal" },
        },
    ]);
}

async function ask(fleet, gateway, adapter, tokens = 2) {
    const res = await fetch(`${fleet.gateways[gateway].url}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ model: `${adapter}@1`, prompt: "p", max_tokens: tokens }),
    });
    await res.text();
    return res.status;
}

function countAsks(fleet) {
    return fleet.gateways.reduce(
        (sum, gateway) =>
            sum + EXCHANGES.reduce((part, name) => part + gateway.metrics.read("peer_asks_sent_total", { name }), 0),
        0,
    );
}

async function measureMessages() {
    const fleet = await open(4);
    const cold = countAsks(fleet);
    for (let at = 0; at < 8; at += 1) {
        await ask(fleet, at % 4, `a${at}`);
    }
    const hot = countAsks(fleet);
    for (let at = 0; at < REQUESTS; at += 1) {
        await ask(fleet, at % 4, "a0");
    }
    const end = countAsks(fleet);
    await fleet.stop();
    return { cold: (hot - cold) / 8, hot: (end - hot) / REQUESTS };
}

async function measureTakeover(planned) {
    const fleet = await open(2, { gateway: { leaseMs: 10_000 } });
    const owner = fleet.gateways.findIndex(gateway => gateway.ownedEngines.length > 0);
    const other = 1 - owner;
    const startMs = performance.now();
    const [stays] = fleet.gateways.slice(other, other + 1);
    const stopped = planned ? fleet.gateways[owner].stop() : fleet.gateways[owner].crash();
    if (!planned) {
        fleet.hosts.setHosts([{
            host: stays.host,
            address: "127.0.0.1",
            port: stays.peerPort,
            failureDomain: "wien-a",
            state: "live",
        }]);
    }
    await waitFor(() => stays.ownedEngines.length === fleet.engines.length);
    const ms = performance.now() - startMs;
    await stopped;
    await fleet.stop();
    return ms;
}

async function measureLeaving() {
    const fleet = await open(2);
    let isOver = false;
    const load = [0, 1, 0, 1].map(async gateway => {
        while (!isOver) {
            await ask(fleet, gateway, "a0");
            await pause(POLL_MS);
        }
    });
    await pause(1000);
    const startMs = performance.now();
    await fleet.apply([fleet.describeUpstream({ draining: true })]);
    const acceptedMs = performance.now();
    await pause(1500);
    isOver = true;
    await Promise.all(load);
    const last = Math.max(...fleet.engines.flatMap(engine => engine.record().runs.map(run => run.receivedAtMs)));
    await fleet.stop();
    return { afterAccepted: Math.max(0, last - acceptedMs), afterSent: Math.max(0, last - startMs) };
}

async function measureSilent() {
    const fleet = await open(1);
    await ask(fleet, 0, "a0");
    const [engine] = fleet.engines;
    const startMs = performance.now();
    engine.setFaults({ silence: true });
    const [gateway] = fleet.gateways;
    await waitFor(() => gateway.metrics.read("engine_probes_total", { engine: engine.id, result: "works" }) > 0);
    const ms = performance.now() - startMs;
    await fleet.stop();
    return ms;
}

function describe(name, values) {
    const sorted = [...values].sort((a, b) => a - b).map(value => Math.round(value));
    console.log(
        `${name}: median ${sorted[Math.floor(sorted.length / 2)]} ms, maximum ${
            sorted.at(-1)
        } ms, ${sorted.length} runs`,
    );
}

async function repeat(run) {
    const values = [];
    for (let at = 0; at < RUNS; at += 1) {
        values.push(await run());
    }
    return values;
}

const messages = await measureMessages();
console.log(`asks between processes a request: cold ${messages.cold}, hot ${messages.hot}`);
describe("takeover after a planned stop", await repeat(() => measureTakeover(true)));
describe("takeover after a failure, lease 10 s", await repeat(() => measureTakeover(false)));
const leaving = await repeat(measureLeaving);
describe("last new request of a leaving upstream, after acceptance", leaving.map(entry => entry.afterAccepted));
describe("silent connections found and replaced", await repeat(measureSilent));
process.exit(0);
