import { deepStrictEqual, ok, Then } from "@fulmarcleat/testing";
import { CHECKED_IDEMPOTENCY } from "./checkedIdempotency.js";
import { IDEMPOTENCY_DEFECTS } from "./idempotencyDefect.js";

Then("the exploration of requests with an idempotency key finds no violation", () => {
    for (const specification of CHECKED_IDEMPOTENCY) {
        const exploration = specification.explore();
        deepStrictEqual(exploration.violations, []);
        ok(exploration.states > 1000, `${exploration.states} states`);
    }
});

Then("the exploration of requests with an idempotency key finds every named defect", () => {
    const found = CHECKED_IDEMPOTENCY.flatMap(specification => specification.defects)
        .filter(defect => defect.explore().violations.some(violation => violation.invariant !== "bounded"))
        .map(defect => defect.name);
    deepStrictEqual([...found].sort(), [...IDEMPOTENCY_DEFECTS].sort());
});
