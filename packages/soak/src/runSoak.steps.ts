import {
    deepStrictEqual,
    Given,
    ok,
    parallelCanAssignHelpers,
    setParallelCanAssign,
    strictEqual,
    Then,
    When,
} from "@fulmarcleat/testing";
import { execFileSync } from "node:child_process";
import { Agent } from "node:http";
import { setTimeout } from "node:timers/promises";
import type { LogLine } from "./createFrontProcess.js";
import { BASIC_FAULT_KINDS, FAULT_KINDS } from "./planFaults.js";
import type { FaultKind } from "./planFaults.js";
import { runSoak } from "./runSoak.js";
import type { SoakReport } from "./runSoak.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { HOST_NAME, MODEL, startSoakFleet } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

const ROOT = new URL("../../../", import.meta.url).pathname;
const STEP_TIMEOUT_MS = 120_000;
const START_TIMEOUT_MS = 20_000;
/** Maximum number of attempts of a client; the first ones may fail, because engines have no owners at first. */
const MAX_ATTEMPTS = 20;
/** Pause between the attempts, in milliseconds. */
const RETRY_MS = 300;

let report: SoakReport;
let answer: SoakAnswer | undefined;
let lines: readonly LogLine[] = [];

setParallelCanAssign(parallelCanAssignHelpers.atMostOnePicklePerTag(["@processes"]));

Given("the front program is bundled", { timeout: STEP_TIMEOUT_MS }, () => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: ROOT });
});

When(
    "the soak of seed {int} runs for {int} s with engines of {int} software versions",
    { timeout: STEP_TIMEOUT_MS },
    (seed: number, seconds: number, softwareVersions: number) =>
        runSeed(seed, seconds, softwareVersions, BASIC_FAULT_KINDS),
);

When(
    /^the soak of seed (\d+) runs for (\d+) s with (accounts and )?([a-z_,]+)$/,
    { timeout: STEP_TIMEOUT_MS },
    (seed: string, seconds: string, accounts: string | null, kinds: string) => {
        const names = kinds.split(",");
        const drawn = names.map(name => FAULT_KINDS.find(kind => kind === name)).filter(kind => kind !== undefined);
        strictEqual(drawn.length, names.length);
        return runSeed(Number(seed), Number(seconds), 1, drawn, accounts !== null);
    },
);

Then("the soak reports no violation", () => {
    deepStrictEqual(report.violations, [], JSON.stringify(report.plan));
    ok(report.answered > 0);
});

Then("the soak refused requests without a valid key and requests over a limit", () => {
    ok(report.unauthenticated > 0 && report.limited > 0);
});

Then("every line that the processes wrote is a JSON log line", () => {
    const logged = report.logs.map(line => JSON.parse(line) as LogLine);
    ok(logged.length > 0);
    deepStrictEqual(logged.filter(line => "unreadable" in line || "stderr" in line), []);
});

When(
    "a soak fleet of {int} hosts serves a {string} request",
    { timeout: STEP_TIMEOUT_MS },
    async (hosts: number, kind: string) => {
        const fleet = await startSoakFleet({
            hosts,
            domains: 1,
            modelEngines: 2,
            plainEngines: 1,
            softwareVersions: 1,
        });
        try {
            ok(await waitUntilReady(fleet, START_TIMEOUT_MS), "the hosts did not become ready in time");
            const [front] = fleet.fronts;
            ok(front !== undefined);
            for (let attempt = 0; attempt < MAX_ATTEMPTS && answer?.status !== 200; attempt += 1) {
                answer = await sendRequest(createTracedRequest(kind, attempt), toTarget(front), new Agent());
                await setTimeout(RETRY_MS);
            }
            front.signal("SIGTERM");
            await front.waitForExit();
            lines = front.log;
        }
        finally {
            await fleet.close();
        }
    },
);

Then("the log of its host contains the events of the request under its id", () => {
    strictEqual(answer?.status, 200);
    const events = lines.filter(line => line["id"] === answer?.req.id).map(line => line["event"]);
    ok(events.includes(405), `event 405 (sent) is missing: ${JSON.stringify(events)}`);
    ok(events.length >= 2, `fewer than 2 events: ${JSON.stringify(events)}`);
    ok(lines.some(line => line["event"] === 103), "event 103 (stop) is missing");
});

function createTracedRequest(kind: string, attempt: number): SoakRequest {
    return {
        id: `traced-${attempt}`,
        kind: kind as SoakRequest["kind"],
        hostName: HOST_NAME,
        path: "/answers/traced",
        body: "",
        deadlineMs: 5000,
        minVersion: 0,
        generation: { model: MODEL, adapter: "a7", events: 5 },
    };
}

async function runSeed(
    seed: number,
    seconds: number,
    softwareVersions: number,
    kinds: readonly FaultKind[],
    hasAccounts = false,
): Promise<void> {
    report = await runSoak({
        seed,
        hosts: 3,
        domains: 1,
        modelEngines: 3,
        plainEngines: 2,
        softwareVersions,
        hasAccounts,
        lengthMs: seconds * 1000,
        clients: 6,
        kinds,
    });
}
