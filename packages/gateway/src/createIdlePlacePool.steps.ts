import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, InstanceName, ManualClock, PlaceId } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createIdlePlacePool } from "./createIdlePlacePool.js";
import type { IdlePlacePool } from "./createIdlePlacePool.js";

interface IdleWorld {
    clock: ManualClock;
    pool: IdlePlacePool;
    released: string[];
}

Given(
    "an idle place pool holds place {string} for key {string} for {int} ms",
    function(this: IdleWorld, place: string, key: string, idleMs: number) {
        this.clock = createManualClock(0);
        this.released = [];
        this.pool = createIdlePlacePool(this.clock, expired => this.released.push(expired.place));
        this.pool.add(key, {
            place: brandId<PlaceId>(place),
            engine: brandId<EngineId>("engine-1"),
            instance: brandId<InstanceName>("levy@7#1.1"),
            fence: 1,
            startByMs: 0,
            reuseKey: key,
            reuseMs: idleMs,
            loadStallMs: 0,
        }, idleMs);
    },
);

When("the idle place pool's clock advances by {int} ms", function(this: IdleWorld, ms: number) {
    this.clock.advance(ms);
});

When("the idle place pool releases all places", function(this: IdleWorld) {
    this.pool.releaseAll();
});

Then(
    "the idle place pool returns {string} for key {string} if starting is {string}",
    function(this: IdleWorld, expected: string, key: string, start: string) {
        strictEqual(this.pool.acquire(key, () => start === "allowed")?.place ?? "none", expected);
    },
);

Then("the idle place pool has released {string}", function(this: IdleWorld, expected: string) {
    strictEqual(this.released.join(","), expected);
});
