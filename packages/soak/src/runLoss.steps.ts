import { deepStrictEqual, ok, Then, When } from "@fulmarcleat/testing";
import type { World } from "@fulmarcleat/testing";
import { runLoss } from "./runLoss.js";
import type { LossReport } from "./runLoss.js";

const STEP_TIMEOUT_MS = 60_000;

let report: LossReport;

When(
    "all hosts of a fleet with engines of {int} software versions are lost by seed {int}",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: World, softwareVersions: number, seed: number) {
        report = await runLoss({
            seed,
            hosts: 3,
            domains: 1,
            modelEngines: 4,
            plainEngines: 1,
            softwareVersions,
            truncatesStreams: false,
        });
        this.log(
            `${report.broken} of ${report.streams} streams broke off after ${Math.round(report.killedAfterMs)} ms`,
        );
    },
);

Then("every stream of which its client had an event went on at its own version", () => {
    ok(report.broken > 0, "no stream had begun");
    deepStrictEqual(report.violations, []);
});
