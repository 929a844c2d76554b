import { FLEET_OPERATOR_TOKEN, startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { raceWriters } from "../raceWriters.js";
import type { RaceResult } from "../raceWriters.js";

/** Concurrent writers of the race. */
const WRITERS = 20;
const CHANGES = 2000;
/** Changes per lost reply of the key-value service. */
const LOSE_EVERY = 50;
/** Changes whose time to take effect on every host is measured. */
const SAMPLES = 200;
const GATEWAYS = 6;
const FAILURE_DOMAINS = ["wien-a", "wien-b", "linz-c"];
/** Settings with which one host of each failure domain watches and pushes changes to the others. */
const PUSH_SETTINGS = { configSpread: { relaysPerDomain: 1, compareMs: 500 } };

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}

function describeTimes(samples: readonly number[]): string {
    const sorted = [...samples].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    const p99 = sorted[Math.floor(sorted.length * 0.99)] ?? 0;
    return `median ${median.toFixed(1)} ms, 99 in 100 ${p99.toFixed(1)} ms, maximum ${
        (sorted.at(-1) ?? 0).toFixed(1)
    } ms`;
}

function describeRace(race: RaceResult): string {
    const versions = race.watchedLines.map(line => (line.type === "ERROR" ? 0 : line.resourceVersion));
    const isInOrder = versions.every((version, at) => version === (versions[0] ?? 0) + at);
    const byVersion = new Map(
        race.watchedLines.flatMap(line => "object" in line ? [[line.resourceVersion, line.object]] : []),
    );
    const accepted = race.attempts.filter(entry => entry.status < 300);
    const missing = accepted.filter(entry => {
        const object = byVersion.get(entry.resourceVersion);
        return object?.kind !== "Caller" || object.spec.weight !== entry.weight || object.metadata.name !== entry.name;
    });
    return `the watcher received ${versions.length} changes, ${
        isInOrder ? "each once and in order" : "OUT OF ORDER"
    }; accepted but not received: ${missing.length}`;
}

async function measureRace(): Promise<void> {
    const fleet = await startFleet({ gateways: 2, engines: 1, failureDomains: FAILURE_DOMAINS });
    const before = fleet.kv.record();
    const race = await raceWriters(fleet, { writers: WRITERS, changes: CHANGES, loseEvery: LOSE_EVERY });
    const after = fleet.kv.record();
    const countByCode = new Map<string, number>();
    race.attempts.forEach(entry =>
        countByCode.set(entry.code ?? "accepted", (countByCode.get(entry.code ?? "accepted") ?? 0) + 1)
    );
    printLine(`race: ${WRITERS} writers, ${race.attempts.length} changes in ${(race.tookMs / 1000).toFixed(1)} s`);
    printLine(`  outcomes: ${[...countByCode].map(([code, count]) => `${code} ${count}`).join(", ")}`);
    printLine(
        `  conflicts answered 409: ${
            race.attempts.filter(entry => entry.code === "conflict").every(entry => entry.status === 409)
        }`,
    );
    printLine(`  ${describeRace(race)}`);
    printLine(`  answer: ${describeTimes(race.attempts.map(entry => entry.tookMs))}`);
    printLine(
        `  KV compare-and-swaps: ${(after.calls["txn"] ?? 0) - (before.calls["txn"] ?? 0)}, writes ${
            after.writes - before.writes
        }`,
    );
    await fleet.stop();
}

async function measureTimeToEffect(
    label: string,
    gateway: Readonly<Record<string, unknown>>,
    hasUnresponsiveHost: boolean,
): Promise<void> {
    const fleet = await startFleet({ gateways: GATEWAYS, engines: 1, failureDomains: FAILURE_DOMAINS, gateway });
    const unresponsiveHost = hasUnresponsiveHost ? await addUnresponsiveHost(fleet) : undefined;
    const api = await fleet.startApi(1);
    const samples: number[] = [];
    for (let at = 0; at < SAMPLES; at += 1) {
        const startMs = performance.now();
        const res = await fetch(`${api.url}/apis/v1/Policy/p`, {
            method: at === 0 ? "PUT" : "PATCH",
            headers: { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` },
            body: JSON.stringify(
                at === 0 ? { kind: "Policy", metadata: { name: "p" }, spec: {} } : { spec: { queueLimit: at + 1 } },
            ),
        });
        const { metadata } = await res.json() as { readonly metadata: { readonly resourceVersion: number } };
        await Promise.all(fleet.gateways.map(entry => entry.configReached(metadata.resourceVersion)));
        samples.push(performance.now() - startMs);
    }
    const pushes = fleet.gateways.reduce((sum, entry) => sum + entry.metrics.read("config_pushes_total"), 0);
    printLine(
        `in effect on ${GATEWAYS} hosts after the request was sent, ${label}: ${
            describeTimes(samples)
        }; ${pushes} pushes`,
    );
    unresponsiveHost?.close();
    await fleet.stop();
}

async function addUnresponsiveHost(fleet: Fleet): Promise<{ close(): void }> {
    const server = createServer(socket => socket.on("error", () => socket.destroy()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    fleet.hosts.setHosts([
        ...fleet.gateways.map((gateway, at) => ({
            host: gateway.host,
            address: "127.0.0.1",
            port: gateway.peerPort,
            failureDomain: FAILURE_DOMAINS[at % FAILURE_DOMAINS.length] ?? "",
            state: "live" as const,
        })),
        { host: "entry-0", address: "127.0.0.1", port, failureDomain: FAILURE_DOMAINS[0] ?? "", state: "live" },
    ] as never);
    return { close: () => server.close() };
}

await measureRace();
await measureTimeToEffect("every host watches", {}, false);
await measureTimeToEffect("every host watches, one more is unresponsive", {}, true);
await measureTimeToEffect("one host of each failure domain watches", PUSH_SETTINGS, false);
await measureTimeToEffect("one host of each failure domain watches, one more is unresponsive", PUSH_SETTINGS, true);
process.exit(0);
