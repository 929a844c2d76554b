import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";
import { sendOwnershipRequest } from "./ownershipRequests.js";
import type { OwnershipWorld } from "./ownershipRequests.js";
import { waitUntil } from "./waitUntil.js";

const TOKENS_PER_REQUEST = 3;
const HOT_ADAPTER = "a1";

interface HotAdapterWorld extends OwnershipWorld {
    placeRequestsBefore?: number;
}

When(
    "{int} requests for one hot adapter reach the gateway that does not own the engine, one after the other",
    async function(this: HotAdapterWorld, count: number) {
        await waitUntil(() => this.fleet.gateways.some(gateway => gateway.ownedEngines.length > 0));
        const gateway = findNonOwner(this);
        this.placeRequestsBefore = countPlaceRequests(this, gateway);
        for (let number = 0; number < count; number += 1) {
            await sendOwnershipRequest(this, { number, adapter: HOT_ADAPTER, gateway, tokens: TOKENS_PER_REQUEST });
        }
    },
);

When("the upstream of the hot adapter is drained", async function(this: HotAdapterWorld) {
    await this.fleet.apply([this.fleet.describeUpstream({ draining: true })]);
    await Promise.all(this.fleet.gateways.map(gateway => gateway.configReached(this.fleet.changes)));
});

Then(
    "all answers for the hot adapter are complete and fewer than {int} place requests were sent",
    function(this: HotAdapterWorld, limit: number) {
        const placeRequests = countPlaceRequests(this, findNonOwner(this)) - (this.placeRequestsBefore ?? 0);
        ok(placeRequests > 0 && placeRequests < limit, `${placeRequests} place requests were sent`);
        const runs = this.fleet.engines.flatMap(engine => engine.record().runs);
        strictEqual(
            runs.filter(run => run.end === "finished" && run.tokens === TOKENS_PER_REQUEST).length,
            runs.length,
        );
    },
);

Then("a further request for the hot adapter is refused as not run", async function(this: HotAdapterWorld) {
    const runsBefore = countRuns(this);
    await sendOwnershipRequest(this, {
        number: 99,
        adapter: HOT_ADAPTER,
        gateway: findNonOwner(this),
        tokens: TOKENS_PER_REQUEST,
    });
    strictEqual(countRuns(this), runsBefore);
    strictEqual(this.answers.at(-1)?.headers.get("fulmarcleat-outcome"), "not_run");
});

function findNonOwner(world: FleetWorld): number {
    return world.fleet.gateways.findIndex(gateway => gateway.ownedEngines.length === 0) + 1;
}

function countPlaceRequests(world: FleetWorld, gateway: number): number {
    return world.fleet.gateways[gateway - 1]?.metrics.read("peer_asks_sent_total", { name: "place" }) ?? 0;
}

function countRuns(world: FleetWorld): number {
    return world.fleet.engines.reduce((total, engine) => total + engine.record().runs.length, 0);
}
