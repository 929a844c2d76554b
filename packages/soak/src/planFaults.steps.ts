import { createRandom } from "@fulmarcleat/ids";
import { deepStrictEqual, notDeepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { FAULT_KINDS, planFaults } from "./planFaults.js";
import type { PlannedFault } from "./planFaults.js";

const RANGE = { hosts: 3, engines: 5, lengthMs: 8000, kinds: FAULT_KINDS };

Then("soak plans of seed {int} are equal, and those of seed {int} differ", (seed: number, other: number) => {
    deepStrictEqual(plan(seed), plan(seed));
    notDeepStrictEqual(plan(seed), plan(other));
});

Then(
    "soak plans of {int} seeds contain {int} kinds of faults, the same fault twice in a row, and overlapping faults",
    (seeds: number, kinds: number) => {
        const plans = Array.from({ length: seeds }, (value, index) => plan(index + 1));
        strictEqual(new Set(plans.flat().map(planned => planned.fault.kind)).size, kinds);
        ok(plans.some(faults => faults.some((planned, index) => planned.fault === faults[index + 1]?.fault)));
        ok(plans.some(faults =>
            faults.some((planned, index) => planned.atMs + planned.forMs > (faults[index + 1]?.atMs ?? Infinity))
        ));
    },
);

function plan(seed: number): readonly PlannedFault[] {
    return planFaults(createRandom(seed), RANGE);
}
