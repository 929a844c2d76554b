import { deepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { exploreOwnership, OWNERSHIP_DEFECTS } from "./exploreOwnership.js";

Then("the ownership defect {string} violates {string}", (name: string, invariant: string) => {
    const violations = OWNERSHIP_DEFECTS.find(defect => defect.name === name)?.explore().violations ?? [];
    ok(violations.some(violation => violation.invariant === invariant && violation.trace.length > 0));
});

Then("the ownership specification has {int} named defects", (count: number) => {
    strictEqual(OWNERSHIP_DEFECTS.length, count);
});

Then("the exploration of ownership without a defect finds no violation", () => {
    const { violations, states } = exploreOwnership("ignored", { faultKinds: ["crash"], faults: 1 });
    deepStrictEqual(violations, []);
    ok(states > 0);
});
