import { deepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { exploreOwnership, OWNERSHIP_DEFECTS } from "./exploreOwnership.js";

Then("the ownership defect {string} breaks {string}", (name: string, invariant: string) => {
    const violations = OWNERSHIP_DEFECTS.find(defect => defect.name === name)?.explore().violations ?? [];
    ok(violations.some(violation => violation.invariant === invariant && violation.trace.length > 0));
});

Then("the ownership exploration has {int} named defects", (count: number) => {
    strictEqual(OWNERSHIP_DEFECTS.length, count);
});

Then("the ownership exploration without a defect breaks nothing", () => {
    const { violations, states } = exploreOwnership("ignored", { faultKinds: ["crash"], faults: 1 });
    deepStrictEqual(violations, []);
    ok(states > 0);
});
