import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import { sendOwnershipRequest } from "./ownershipRequests.js";
import type { OwnershipWorld } from "./ownershipRequests.js";
import { waitUntil } from "./waitUntil.js";

const TOKENS = 3;
const HOT = "a1";

interface HotWorld extends OwnershipWorld {
    asksBefore?: number;
}

When(
    "{int} requests for one hot adapter reach the gateway that does not own the engine, one after the other",
    async function(this: HotWorld, count: number) {
        await waitUntil(() => this.fleet.gateways.some(gateway => gateway.ownedEngines.length > 0));
        const gateway = findOther(this);
        this.asksBefore = countAsks(this, gateway);
        for (let number = 0; number < count; number += 1) {
            await sendOwnershipRequest(this, { number, adapter: HOT, gateway, tokens: TOKENS });
        }
    },
);

When("the upstream of the hot adapter leaves", async function(this: HotWorld) {
    await this.fleet.apply([this.fleet.describeUpstream({ draining: true })]);
    await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
});

Then("hot answers are all whole and fewer than {int} places were asked for", function(this: HotWorld, limit: number) {
    const asks = countAsks(this, findOther(this)) - (this.asksBefore ?? 0);
    ok(asks > 0 && asks < limit, `${asks} places were asked for`);
    const runs = this.fleet.engines.flatMap(engine => engine.record().runs);
    strictEqual(runs.filter(run => run.end === "finished" && run.tokens === TOKENS).length, runs.length);
});

Then("a further hot request is refused as not run", async function(this: HotWorld) {
    const before = countRuns(this);
    await sendOwnershipRequest(this, { number: 99, adapter: HOT, gateway: findOther(this), tokens: TOKENS });
    strictEqual(countRuns(this), before);
    strictEqual(this.answers.at(-1)?.headers.get("fulmarcleat-outcome"), "not_run");
});

function findOther(world: FleetWorld): number {
    return world.fleet.gateways.findIndex(gateway => gateway.ownedEngines.length === 0) + 1;
}

function countAsks(world: FleetWorld, gateway: number): number {
    return world.fleet.gateways[gateway - 1]?.metrics.read("peer_asks_sent_total", { name: "place" }) ?? 0;
}

function countRuns(world: FleetWorld): number {
    return world.fleet.engines.reduce((total, engine) => total + engine.record().runs.length, 0);
}
