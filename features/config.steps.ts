import { CONFIG_LOG_KEY, parseConfigLog, readLastSeq } from "@fulmarcleat/config";
import type { ConfigLog } from "@fulmarcleat/config";
import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import type { Gateway } from "@fulmarcleat/gateway";
import { hashSecret } from "@fulmarcleat/resources";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setTimeout as sleep } from "node:timers/promises";
import type { ApiWorld } from "./apiWorld.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import { raceWriters } from "./raceWriters.js";
import type { RaceResult } from "./raceWriters.js";

interface ConfigWorld extends FleetWorld, ApiWorld {
    race?: RaceResult;
    addedGateway?: Gateway;
    stoppedGateway?: Gateway;
    lastAcceptedSeq?: number;
}

/** Time between two checks, in milliseconds. */
const POLL_INTERVAL_MS = 20;
/** Number of checks that a gateway stays not ready. */
const READINESS_CHECKS = 10;

Given(
    "a fleet of {int} gateways of one failure domain, {int} of them watching",
    async function(this: FleetWorld, gateways: number, relaysPerDomain: number) {
        await this.start({
            gateways,
            engines: 1,
            failureDomains: ["wien-a"],
            gateway: { configSpread: { relaysPerDomain, compareMs: 200 } },
        });
        while (countWatchingGateways(this) !== relaysPerDomain) {
            await sleep(POLL_INTERVAL_MS);
        }
    },
);

function countWatchingGateways(world: FleetWorld): number {
    return world.fleet.gateways.reduce((total, gateway) => total + gateway.metrics.read("config_watching"), 0);
}

When(
    "{int} concurrent writers send {int} changes, and 1 in {int} loses a reply of the key-value service",
    async function(this: ConfigWorld, writers: number, changes: number, loseEvery: number) {
        this.race = await raceWriters(this.fleet, { writers, changes, loseEvery });
    },
);

Then("each change was accepted, refused as a conflict, or reported as unknown", function(this: ConfigWorld) {
    const codes = new Set(this.race?.attempts.map(entry => entry.code ?? "accepted"));
    const allowed = new Set(["accepted", "conflict", "kv_unknown", "stopping", "unreachable"]);
    codes.forEach(code => ok(allowed.has(code), code));
    ok(codes.has("accepted"));
    this.race?.attempts.filter(entry => entry.code === "conflict").forEach(entry => strictEqual(entry.status, 409));
});

Then("the watch delivered every accepted change once and in order", function(this: ConfigWorld) {
    const watchedLines = this.race?.watchedLines ?? [];
    const versions = watchedLines.map(line => (line.type === "ERROR" ? 0 : line.resourceVersion));
    deepStrictEqual(versions, versions.map((unused, at) => (versions[0] ?? 0) + at));
    const byVersion = new Map(
        watchedLines.flatMap(line => "object" in line ? [[line.resourceVersion, line.object]] : []),
    );
    for (const entry of this.race?.attempts.filter(candidate => candidate.status < 300) ?? []) {
        const object = byVersion.get(entry.resourceVersion);
        strictEqual(object?.metadata.name, entry.name);
        strictEqual(object?.kind === "Caller" ? object.spec.weight : undefined, entry.weight);
    }
    const refused = this.race?.attempts.filter(entry => entry.code === "conflict" && entry.name.startsWith("own"))
        ?? [];
    deepStrictEqual(refused, []);
});

Then("every gateway has the last change in effect", async function(this: ConfigWorld) {
    const lastSeq = readLastSeq(await readConfigLog(this));
    this.lastAcceptedSeq = lastSeq;
    const runningGateways = this.fleet.gateways.filter(gateway => gateway !== this.stoppedGateway);
    await Promise.all(runningGateways.map(gateway => gateway.configReached(lastSeq)));
});

When("the key-value service of the configuration goes down", function(this: ConfigWorld) {
    this.fleet.kv.setFaults({ down: true });
});

When("a further gateway starts", async function(this: ConfigWorld) {
    this.addedGateway = await this.fleet.startGateway(9);
});

Then("the further gateway has the last change in effect", async function(this: ConfigWorld) {
    await this.addedGateway?.ready;
    const lastSeq = this.lastAcceptedSeq ?? readLastSeq(await readConfigLog(this));
    await this.addedGateway?.configReached(lastSeq);
});

Then("the further gateway is not ready", async function(this: ConfigWorld) {
    for (let round = 0; round < READINESS_CHECKS; round += 1) {
        const res = await fetch(`${this.addedGateway?.url}/readyz`);
        strictEqual(res.status, 503);
        await sleep(POLL_INTERVAL_MS);
    }
});

When(
    "{int} Callers are accepted by an API that compacts its log over {int} bytes",
    async function(this: ConfigWorld, count: number, compactBytes: number) {
        const api = await this.fleet.startApi(1, { compactBytes, keepChangesMs: 0 });
        for (let at = 0; at < count; at += 1) {
            const res = await fetch(`${api.url}/apis/v1/Caller`, {
                method: "POST",
                headers: { authorization: `Bearer ${FLEET_OPERATOR_TOKEN}` },
                body: JSON.stringify({
                    kind: "Caller",
                    metadata: { name: `caller-${at}` },
                    spec: { keyHashes: [hashSecret(`${at}`)] },
                }),
            });
            strictEqual(res.status, 201);
        }
    },
);

Then("the configuration log contains fewer than {int} changes", async function(this: ConfigWorld, limit: number) {
    for (let log = await readConfigLog(this); log.changes.length >= limit; log = await readConfigLog(this)) {
        await sleep(POLL_INTERVAL_MS);
    }
});

Then("the gateways pushed changes to each other", function(this: ConfigWorld) {
    const pushCounts = this.fleet.gateways.map(gateway => gateway.metrics.read("config_pushes_total"));
    ok(pushCounts.some(count => count > 0), pushCounts.join(" "));
});

When("the watching gateway stops", async function(this: ConfigWorld) {
    const watchCounts = this.fleet.gateways.map(gateway =>
        gateway.metrics.read("kv_calls_total", { purpose: "config", kind: "watch" })
    );
    this.stoppedGateway = this.fleet.gateways[watchCounts.indexOf(Math.max(...watchCounts))];
    await this.stoppedGateway?.stop();
});

After(async function(this: ConfigWorld) {
    await this.addedGateway?.stop();
});

async function readConfigLog(world: FleetWorld): Promise<ConfigLog> {
    return parseConfigLog((await world.fleet.kvClient.read("config", CONFIG_LOG_KEY))?.value ?? "");
}
