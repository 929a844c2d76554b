import { deepStrictEqual, Then, When } from "@fulmarcleat/testing";
import type { World } from "@fulmarcleat/testing";
import { runSilence } from "./runSilence.js";
import type { SilenceReport } from "./runSilence.js";
import type { SoakAnswer } from "./sendRequest.js";

const STEP_TIMEOUT_MS = 60_000;

let report: SilenceReport;

When(
    "{int} of {int} model engines fall silent {int} times for {int} ms while clients of {int} hosts receive streams",
    { timeout: STEP_TIMEOUT_MS },
    async function(
        this: World,
        silentEngines: number,
        modelEngines: number,
        silences: number,
        silenceMs: number,
        hosts: number,
    ) {
        report = await runSilence({
            hosts,
            domains: 1,
            modelEngines,
            plainEngines: 1,
            softwareVersions: 1,
            truncatesStreams: false,
            silentEngines,
            silenceMs,
            silences,
        });
        this.log(`${findLost().length} of ${report.answers.length} streams lost`);
    },
);

Then("every client has a whole stream", () => {
    deepStrictEqual(findLost().map(({ req, host, status }) => `${req.id} at ${host} ended with status ${status}`), []);
});

Then("no stream or run violates a guarantee", () => {
    deepStrictEqual(report.violations, []);
});

function findLost(): readonly SoakAnswer[] {
    return report.answers.filter(answer => answer.status !== 200 || !answer.isComplete);
}
