import { deepStrictEqual, ok, Then } from "@fulmarcleat/testing";
import { CONFIG_SPECIFICATIONS } from "./configSpecifications.js";

Then(
    "exploring {string} with the defect {string} violates {string}",
    (specification: string, defect: string, invariant: string) => {
        const found = CONFIG_SPECIFICATIONS.find(candidate => candidate.name === specification)
            ?.defects.find(candidate => candidate.name === defect)
            ?.explore().violations;
        ok(found !== undefined && found.length > 0, `the exploration does not find the defect "${defect}"`);
        ok(found.some(violation => violation.invariant === invariant), JSON.stringify(found));
    },
);

Then("exploring {string} without a defect finds no violation", (specification: string) => {
    const exploration = CONFIG_SPECIFICATIONS.find(candidate => candidate.name === specification)?.explore();
    ok((exploration?.states ?? 0) > 1000);
    deepStrictEqual(exploration?.violations, []);
});
