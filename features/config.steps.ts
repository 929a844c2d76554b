import { CONFIG_LOG_KEY, parseConfigLog, readLastSeq } from "@fulmarcleat/config";
import type { ConfigLog } from "@fulmarcleat/config";
import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import type { Gateway } from "@fulmarcleat/gateway";
import { hashSecret } from "@fulmarcleat/resources";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setTimeout as pause } from "node:timers/promises";
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

const WATCH_MS = 20;
const SETTLE_ROUNDS = 10;

Given(
    "a fleet of {int} gateways of one failure domain, {int} of them watching",
    async function(this: FleetWorld, gateways: number, relaysPerDomain: number) {
        await this.start({
            gateways,
            engines: 1,
            failureDomains: ["wien-a"],
            gateway: { configSpread: { relaysPerDomain, compareMs: 200 } },
        });
        while (countWatching(this) !== relaysPerDomain) {
            await pause(WATCH_MS);
        }
    },
);

function countWatching(world: FleetWorld): number {
    return world.fleet.gateways.reduce((total, gateway) => total + gateway.metrics.read("config_watching"), 0);
}

When(
    "{int} writers race with {int} changes, and 1 in {int} loses a reply",
    async function(this: ConfigWorld, writers: number, changes: number, loseEvery: number) {
        this.race = await raceWriters(this.fleet, { writers, changes, loseEvery });
    },
);

Then("each change was accepted, refused as a conflict, or said to be unknown", function(this: ConfigWorld) {
    const codes = new Set(this.race?.attempts.map(entry => entry.code ?? "accepted"));
    const allowed = new Set(["accepted", "conflict", "kv_unknown", "stopping", "unreachable"]);
    codes.forEach(code => ok(allowed.has(code), code));
    ok(codes.has("accepted"));
    this.race?.attempts.filter(entry => entry.code === "conflict").forEach(entry => strictEqual(entry.status, 409));
});

Then("the watcher saw every accepted change once and in order", function(this: ConfigWorld) {
    const seen = this.race?.watchedLines ?? [];
    const versions = seen.map(line => (line.type === "ERROR" ? 0 : line.resourceVersion));
    deepStrictEqual(versions, versions.map((unused, at) => (versions[0] ?? 0) + at));
    const byVersion = new Map(seen.flatMap(line => "object" in line ? [[line.resourceVersion, line.object]] : []));
    for (const entry of this.race?.attempts.filter(candidate => candidate.status < 300) ?? []) {
        const object = byVersion.get(entry.resourceVersion);
        strictEqual(object?.metadata.name, entry.name);
        strictEqual(object?.kind === "Caller" ? object.spec.weight : undefined, entry.weight);
    }
    const refused = this.race?.attempts.filter(entry => entry.code === "conflict" && entry.name.startsWith("own"))
        ?? [];
    deepStrictEqual(refused, []);
});

Then("every gateway has the last change in force", async function(this: ConfigWorld) {
    const last = readLastSeq(await readLog(this));
    this.lastAcceptedSeq = last;
    const live = this.fleet.gateways.filter(gateway => gateway !== this.stoppedGateway);
    await Promise.all(live.map(gateway => gateway.configReached(last)));
});

When("the configuration's key-value service goes down", function(this: ConfigWorld) {
    this.fleet.kv.setFaults({ down: true });
});

When("a further gateway starts", async function(this: ConfigWorld) {
    this.addedGateway = await this.fleet.startGateway(9);
});

Then("the further gateway has the last change in force", async function(this: ConfigWorld) {
    await this.addedGateway?.ready;
    const last = this.lastAcceptedSeq ?? readLastSeq(await readLog(this));
    await this.addedGateway?.configReached(last);
});

Then("the further gateway is not ready", async function(this: ConfigWorld) {
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
        const res = await fetch(`${this.addedGateway?.url}/readyz`);
        strictEqual(res.status, 503);
        await pause(WATCH_MS);
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

Then("the configuration's log holds fewer than {int} changes", async function(this: ConfigWorld, limit: number) {
    for (let log = await readLog(this); log.changes.length >= limit; log = await readLog(this)) {
        await pause(WATCH_MS);
    }
});

Then("the gateways pushed changes", function(this: ConfigWorld) {
    const pushes = this.fleet.gateways.map(gateway => gateway.metrics.read("config_pushes_total"));
    ok(pushes.some(count => count > 0), pushes.join(" "));
});

When("the watching gateway stops", async function(this: ConfigWorld) {
    const watches = this.fleet.gateways.map(gateway =>
        gateway.metrics.read("kv_calls_total", { purpose: "config", kind: "watch" })
    );
    this.stoppedGateway = this.fleet.gateways[watches.indexOf(Math.max(...watches))];
    await this.stoppedGateway?.stop();
});

After(async function(this: ConfigWorld) {
    await this.addedGateway?.stop();
});

async function readLog(world: FleetWorld): Promise<ConfigLog> {
    return parseConfigLog((await world.fleet.kvClient.read("config", CONFIG_LOG_KEY))?.value ?? "");
}
