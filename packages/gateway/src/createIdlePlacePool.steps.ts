import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, InstanceName, ManualClock, PlaceId } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createIdlePlacePool } from "./createIdlePlacePool.js";
import type { IdlePlacePool } from "./createIdlePlacePool.js";

interface IdleWorld {
    clock: ManualClock;
    pool: IdlePlacePool;
    returned: string[];
}

Given(
    "idle places keep place {string} of {string} for {int} ms",
    function(this: IdleWorld, place: string, key: string, keepMs: number) {
        this.clock = createManualClock(0);
        this.returned = [];
        this.pool = createIdlePlacePool(this.clock, expired => this.returned.push(expired.place));
        this.pool.add(key, {
            place: brandId<PlaceId>(place),
            engine: brandId<EngineId>("engine-1"),
            instance: brandId<InstanceName>("levy@7#1.1"),
            fence: 1,
            startByMs: 0,
            reuseKey: key,
            reuseMs: keepMs,
            loadStallMs: 0,
        }, keepMs);
    },
);

When("the idle places' clock moves on by {int} ms", function(this: IdleWorld, ms: number) {
    this.clock.advance(ms);
});

When("idle places are cleared", function(this: IdleWorld) {
    this.pool.releaseAll();
});

Then(
    "idle places give {string} for {string} where starting is {string}",
    function(this: IdleWorld, taken: string, key: string, start: string) {
        strictEqual(this.pool.acquire(key, () => start === "allowed")?.place ?? "none", taken);
    },
);

Then("idle places have given back {string}", function(this: IdleWorld, returned: string) {
    strictEqual(this.returned.join(","), returned);
});
