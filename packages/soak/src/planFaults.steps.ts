import { createRandom } from "@fulmarcleat/ids";
import { deepStrictEqual, notDeepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { planFaults } from "./planFaults.js";
import type { PlannedFault } from "./planFaults.js";

const RANGE = { hosts: 3, engines: 5, lengthMs: 8000 };

Then("soak walks of seed {int} are alike, and those of seed {int} differ", (seed: number, other: number) => {
    deepStrictEqual(plan(seed), plan(seed));
    notDeepStrictEqual(plan(seed), plan(other));
});

Then(
    "soak walks of {int} seeds hold {int} kinds, the same fault twice in a row, and faults that overlap",
    (seeds: number, kinds: number) => {
        const plans = Array.from({ length: seeds }, (value, index) => plan(index + 1));
        strictEqual(new Set(plans.flat().map(planned => planned.fault.kind)).size, kinds);
        ok(plans.some(walk => walk.some((planned, index) => planned.fault === walk[index + 1]?.fault)));
        ok(plans.some(walk =>
            walk.some((planned, index) => planned.atMs + planned.forMs > (walk[index + 1]?.atMs ?? Infinity))
        ));
    },
);

function plan(seed: number): readonly PlannedFault[] {
    return planFaults(createRandom(seed), RANGE);
}
