// Measures messages between gateways, takeover times, draining of an upstream and recovery of silent connections.
import { startFleet } from "@fulmarcleat/fleet";
import { hashSecret } from "@fulmarcleat/resources";

const KEY = "measure-key";
/** Number of runs of each timed measurement. */
const RUNS = 5;
/** Number of requests for the adapter that is loaded. */
const REQUESTS = 200;
/** Interval between checks of a condition and between requests of a client, in milliseconds. */
const POLL_MS = 5;
/** Names of the peer requests that are counted: place requests, their ends and the places held. */
const PEER_REQUEST_NAMES = ["place", "placeEnd", "placesHeld"];

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitFor(isMet) {
    while (!isMet()) {
        await sleep(POLL_MS);
    }
}

async function startMeasuredFleet(gateways, changed = {}) {
    const fleet = await startFleet({
        gateways,
        engines: 2,
        failureDomains: ["wien-a"],
        fencing: "checked",
        resources: [
            { kind: "Caller", metadata: { name: "c" }, spec: { keyHashes: [hashSecret(KEY)] } },
            { kind: "Policy", metadata: { name: "policy" }, spec: { replicaRate: 1000, storeLoadsPerSecond: 50 } },
            ...buildAdapters(),
        ],
        ...changed,
    });
    await Promise.all(fleet.gateways.map(gateway => gateway.configReached(fleet.changes)));
    await waitFor(() => fleet.gateways.flatMap(gateway => gateway.ownedEngines).length === fleet.engines.length);
    return fleet;
}

function buildAdapters() {
    return Array.from({ length: 8 }, (unused, index) => `a${index}`).flatMap(name => [
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

async function sendCompletion(fleet, gateway, adapter, tokens = 2) {
    const res = await fetch(`${fleet.gateways[gateway].url}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ model: `${adapter}@1`, prompt: "p", max_tokens: tokens }),
    });
    await res.text();
    return res.status;
}

function countPeerRequests(fleet) {
    return fleet.gateways.reduce(
        (sum, gateway) =>
            sum
            + PEER_REQUEST_NAMES.reduce(
                (part, name) => part + gateway.metrics.read("peer_asks_sent_total", { name }),
                0,
            ),
        0,
    );
}

/** Counts the peer requests per client request, for adapters that are not loaded (cold) and for one that is (hot). */
async function measureMessages() {
    const fleet = await startMeasuredFleet(4);
    const beforeCold = countPeerRequests(fleet);
    for (let index = 0; index < 8; index += 1) {
        await sendCompletion(fleet, index % 4, `a${index}`);
    }
    const beforeHot = countPeerRequests(fleet);
    for (let index = 0; index < REQUESTS; index += 1) {
        await sendCompletion(fleet, index % 4, "a0");
    }
    const afterHot = countPeerRequests(fleet);
    await fleet.stop();
    return { cold: (beforeHot - beforeCold) / 8, hot: (afterHot - beforeHot) / REQUESTS };
}

/** Returns the time until another gateway owns all engines after a graceful stop or a crash, in milliseconds. */
async function measureTakeover(isGraceful) {
    const fleet = await startMeasuredFleet(2, { gateway: { leaseMs: 10_000 } });
    const ownerIndex = fleet.gateways.findIndex(gateway => gateway.ownedEngines.length > 0);
    const otherIndex = 1 - ownerIndex;
    const startMs = performance.now();
    const [remaining] = fleet.gateways.slice(otherIndex, otherIndex + 1);
    const stopped = isGraceful ? fleet.gateways[ownerIndex].stop() : fleet.gateways[ownerIndex].crash();
    if (!isGraceful) {
        fleet.hosts.setHosts([{
            host: remaining.host,
            address: "127.0.0.1",
            port: remaining.peerPort,
            failureDomain: "wien-a",
            state: "live",
        }]);
    }
    await waitFor(() => remaining.ownedEngines.length === fleet.engines.length);
    const ms = performance.now() - startMs;
    await stopped;
    await fleet.stop();
    return ms;
}

/** Returns how long engines receive new requests after the change that drains their upstream, in milliseconds. */
async function measureDraining() {
    const fleet = await startMeasuredFleet(2);
    let isStopped = false;
    const clients = [0, 1, 0, 1].map(async gateway => {
        while (!isStopped) {
            await sendCompletion(fleet, gateway, "a0");
            await sleep(POLL_MS);
        }
    });
    await sleep(1000);
    const startMs = performance.now();
    await fleet.apply([fleet.describeUpstream({ draining: true })]);
    const acceptedMs = performance.now();
    await sleep(1500);
    isStopped = true;
    await Promise.all(clients);
    const lastReceivedMs = Math.max(
        ...fleet.engines.flatMap(engine => engine.record().runs.map(run => run.receivedAtMs)),
    );
    await fleet.stop();
    return {
        afterAccepted: Math.max(0, lastReceivedMs - acceptedMs),
        afterSent: Math.max(0, lastReceivedMs - startMs),
    };
}

/** Returns the time until a gateway detects and replaces silent connections to an engine, in milliseconds. */
async function measureSilentConnections() {
    const fleet = await startMeasuredFleet(1);
    await sendCompletion(fleet, 0, "a0");
    const [engine] = fleet.engines;
    const startMs = performance.now();
    engine.setFaults({ silence: true });
    const [gateway] = fleet.gateways;
    await waitFor(() => gateway.metrics.read("engine_probes_total", { engine: engine.id, result: "works" }) > 0);
    const ms = performance.now() - startMs;
    await fleet.stop();
    return ms;
}

function printTimes(name, values) {
    const sorted = [...values].sort((a, b) => a - b).map(value => Math.round(value));
    console.log(
        `${name}: median ${sorted[Math.floor(sorted.length / 2)]} ms, maximum ${
            sorted.at(-1)
        } ms, ${sorted.length} runs`,
    );
}

async function repeat(run) {
    const values = [];
    for (let index = 0; index < RUNS; index += 1) {
        values.push(await run());
    }
    return values;
}

const messages = await measureMessages();
console.log(`peer requests per client request: cold ${messages.cold}, hot ${messages.hot}`);
printTimes("takeover after a graceful stop", await repeat(() => measureTakeover(true)));
printTimes("takeover after a failure, lease 10 s", await repeat(() => measureTakeover(false)));
const drainTimes = await repeat(measureDraining);
printTimes("last new request of a draining upstream, after acceptance", drainTimes.map(entry => entry.afterAccepted));
printTimes("silent connections detected and replaced", await repeat(measureSilentConnections));
process.exit(0);
