import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { checkGuarantees } from "./checkGuarantees.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import type { OwnershipWorld } from "./ownershipRequests.js";
import { sendOwnershipRequest } from "./ownershipRequests.js";
import { waitUntil } from "./waitUntil.js";

const FIRST_REQUEST_NUMBER = 500;

When(
    "a long answer of {int} tokens is running at each gateway and gateway {int} stops",
    async function(this: OwnershipWorld, tokens: number, stopping: number) {
        const answers = this.fleet.gateways.map((unused, at) =>
            sendOwnershipRequest(this, {
                number: FIRST_REQUEST_NUMBER + at,
                adapter: `a${at + 1}`,
                gateway: at + 1,
                tokens,
            })
        );
        await waitUntil(() => countRunningRequests(this) === this.fleet.gateways.length);
        await this.fleet.gateways[stopping - 1]?.stop();
        await Promise.all(answers);
    },
);

When(
    "a long answer of {int} tokens runs on each engine and the upstream is drained",
    async function(this: OwnershipWorld, tokens: number) {
        const answers = ["a1", "a2", "a3"].map((adapter, at) =>
            sendOwnershipRequest(this, { number: FIRST_REQUEST_NUMBER + at, adapter, gateway: 1 + at % 2, tokens })
        );
        await waitUntil(() => countRunningRequests(this) === answers.length);
        await this.fleet.apply([this.fleet.describeUpstream({ draining: true })]);
        await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
        this.runsBefore = countRuns(this);
        await Promise.all(answers);
    },
);

When("the host list marks gateway {int} as leaving", function(this: OwnershipWorld, number: number) {
    this.fleet.hosts.setHosts(this.fleet.gateways.map((gateway, at) => ({
        host: gateway.host,
        address: "127.0.0.1",
        port: gateway.peerPort,
        failureDomain: "wien-a",
        state: at === number - 1 ? "leaving" as const : "live" as const,
    })));
});

Then("every answer in flight is complete and every guarantee holds", function(this: OwnershipWorld) {
    const sent = this.sentRequests ?? [];
    ok(sent.length > 0);
    sent.forEach(request => strictEqual(request.status, 200, request.text));
    const records = this.fleet.engines.map(engine => engine.record());
    const runs = records.flatMap(record => record.runs);
    const evictedInUse = records.reduce((sum, record) => sum + record.evictedInUse, 0);
    deepStrictEqual(checkGuarantees(sent, { runs, evictedInUse }), []);
});

Then("the other gateways own every engine", async function(this: OwnershipWorld) {
    await waitUntil(() => countOwnedEngines(this.fleet.gateways.slice(1)) === this.fleet.engines.length);
});

Then("gateway {int} owns every engine", async function(this: OwnershipWorld, number: number) {
    await waitUntil(() =>
        countOwnedEngines(this.fleet.gateways.slice(number - 1, number)) === this.fleet.engines.length
    );
});

Then(
    "a request after the change took effect is refused as not run with {string}",
    async function(this: OwnershipWorld, code: string) {
        await sendOwnershipRequest(this, { number: 1, adapter: "a1", gateway: 1, tokens: 1 });
        const lastRequest = this.sentRequests?.at(-1);
        strictEqual(lastRequest?.outcome, "not_run", lastRequest?.text);
        ok(lastRequest.text.includes(code), lastRequest.text);
    },
);

Then("the drained engines started no run after the change took effect", function(this: OwnershipWorld) {
    strictEqual(countRuns(this), this.runsBefore);
});

function countRuns({ fleet }: FleetWorld): number {
    return fleet.engines.reduce((sum, engine) => sum + engine.record().runs.length, 0);
}

function countRunningRequests({ fleet }: FleetWorld): number {
    return fleet.engines.flatMap(engine => engine.record().runs).filter(run => run.end === undefined).length;
}

function countOwnedEngines(gateways: readonly FleetWorld["fleet"]["gateways"][number][]): number {
    return gateways.reduce((sum, gateway) => sum + gateway.ownedEngines.length, 0);
}

Given("the key-value service takes {int} ms for each answer", async function(this: FleetWorld, delayMs: number) {
    await waitUntil(() =>
        this.fleet.engines.every(engine => this.fleet.kv.store.read(formatOwnerKey(engine.id)) !== undefined)
    );
    this.fleet.kv.setFaults({ delayMs });
});

When("gateway {int} has stopped gracefully", async function(this: FleetWorld, number: number) {
    await this.fleet.gateways[number - 1]?.stop();
});

Then(
    "no owner record names gateway {int} as an owner that has not released",
    function(this: FleetWorld, number: number) {
        const host = this.fleet.gateways[number - 1]?.host;
        const records = this.fleet.engines.map(engine => readOwnerRecord(this, engine.id));
        strictEqual(records.filter(record => record.host === host && !record.released).length, 0);
        ok(records.some(record => record.released || record.fence > 1), "the gateway owned no engine before its stop");
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
