import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { checkPromises } from "./checkPromises.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import type { OwnershipWorld } from "./ownershipRequests.js";
import { sendOwnershipRequest } from "./ownershipRequests.js";
import { waitUntil } from "./waitUntil.js";

const FIRST_LONG = 500;

When(
    "a long answer of {int} tokens is running at each gateway and gateway {int} stops",
    async function(this: OwnershipWorld, tokens: number, stopping: number) {
        const answers = this.fleet.gateways.map((unused, at) =>
            sendOwnershipRequest(this, { number: FIRST_LONG + at, adapter: `a${at + 1}`, gateway: at + 1, tokens })
        );
        await waitUntil(() => countRunning(this) === this.fleet.gateways.length);
        await this.fleet.gateways[stopping - 1]?.stop();
        await Promise.all(answers);
    },
);

When(
    "a long answer of {int} tokens runs on each engine and the upstream leaves",
    async function(this: OwnershipWorld, tokens: number) {
        const answers = ["a1", "a2", "a3"].map((adapter, at) =>
            sendOwnershipRequest(this, { number: FIRST_LONG + at, adapter, gateway: 1 + at % 2, tokens })
        );
        await waitUntil(() => countRunning(this) === answers.length);
        await this.fleet.apply([this.fleet.describeUpstream({ draining: true })]);
        await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
        this.runsBefore = countRuns(this);
        await Promise.all(answers);
    },
);

When("the host list calls gateway {int} leaving", function(this: OwnershipWorld, number: number) {
    this.fleet.hosts.setHosts(this.fleet.gateways.map((gateway, at) => ({
        host: gateway.host,
        address: "127.0.0.1",
        port: gateway.peerPort,
        failureDomain: "wien-a",
        state: at === number - 1 ? "leaving" as const : "live" as const,
    })));
});

Then("every leaving answer is whole and no promise is broken", function(this: OwnershipWorld) {
    const sent = this.sent ?? [];
    ok(sent.length > 0);
    sent.forEach(request => strictEqual(request.status, 200, request.text));
    const records = this.fleet.engines.map(engine => engine.record());
    const runs = records.flatMap(record => record.runs);
    const evictedInUse = records.reduce((sum, record) => sum + record.evictedInUse, 0);
    deepStrictEqual(checkPromises(sent, { runs, evictedInUse }), []);
});

Then("the other gateways own every engine", async function(this: OwnershipWorld) {
    await waitUntil(() => countOwned(this.fleet.gateways.slice(1)) === this.fleet.engines.length);
});

Then("gateway {int} owns every engine", async function(this: OwnershipWorld, number: number) {
    await waitUntil(() => countOwned(this.fleet.gateways.slice(number - 1, number)) === this.fleet.engines.length);
});

Then(
    "a request after the change in force is refused as not run with {string}",
    async function(this: OwnershipWorld, code: string) {
        await sendOwnershipRequest(this, { number: 1, adapter: "a1", gateway: 1, tokens: 1 });
        const last = this.sent?.at(-1);
        strictEqual(last?.outcome, "not_run", last?.text);
        ok(last.text.includes(code), last.text);
    },
);

Then("the leaving engines started nothing after the change was in force", function(this: OwnershipWorld) {
    strictEqual(countRuns(this), this.runsBefore);
});

function countRuns({ fleet }: FleetWorld): number {
    return fleet.engines.reduce((sum, engine) => sum + engine.record().runs.length, 0);
}

function countRunning({ fleet }: FleetWorld): number {
    return fleet.engines.flatMap(engine => engine.record().runs).filter(run => run.end === undefined).length;
}

function countOwned(gateways: readonly FleetWorld["fleet"]["gateways"][number][]): number {
    return gateways.reduce((sum, gateway) => sum + gateway.ownedEngines.length, 0);
}

Given("the KV takes {int} ms for each answer", async function(this: FleetWorld, delayMs: number) {
    await waitUntil(() =>
        this.fleet.engines.every(engine => this.fleet.kv.store.read(formatOwnerKey(engine.id)) !== undefined)
    );
    this.fleet.kv.setFaults({ delayMs });
});

When("leaving gateway {int} has stopped", async function(this: FleetWorld, number: number) {
    await this.fleet.gateways[number - 1]?.stop();
});

Then(
    "no owner record names leaving gateway {int} as an owner that did not release",
    function(this: FleetWorld, number: number) {
        const host = this.fleet.gateways[number - 1]?.host;
        const records = this.fleet.engines.map(engine => readOwnerRecord(this, engine.id));
        strictEqual(records.filter(record => record.host === host && !record.released).length, 0);
        ok(records.some(record => record.released || record.fence > 1), "gateway had nothing to release");
    },
);

interface StoredOwner {
    readonly host: string;
    readonly released: boolean;
    readonly fence: number;
}

function readOwnerRecord(world: FleetWorld, engine: string): StoredOwner {
    const value = world.fleet.kv.store.read(formatOwnerKey(engine))?.value ?? "";
    return JSON.parse(Buffer.from(value, "base64").toString("utf8")) as StoredOwner;
}

function formatOwnerKey(engine: string): string {
    return Buffer.from(`owner/${engine}`, "utf8").toString("base64");
}
