import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { execFileSync } from "node:child_process";
import { Agent } from "node:http";
import { setTimeout } from "node:timers/promises";
import type { LogLine } from "./createFrontProcess.js";
import { runSoak } from "./runSoak.js";
import type { SoakReport } from "./runSoak.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";
import { HOST_NAME, MODEL, startSoakFleet } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";
import { waitUntilReady } from "./waitUntilReady.js";

const ROOT = new URL("../../../", import.meta.url).pathname;
const STEP_TIMEOUT_MS = 120_000;
const START_MS = 20_000;
/** Attempts of a client; the first ones may come before engines have owners. */
const ATTEMPTS = 20;
const RETRY_MS = 300;

let report: SoakReport;
let answer: SoakAnswer | undefined;
let lines: readonly LogLine[] = [];

Given("the program of the platform's hosts is built", { timeout: STEP_TIMEOUT_MS }, () => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: ROOT });
});

When("the soak of seed {int} runs for {int} s", { timeout: STEP_TIMEOUT_MS }, async (seed: number, seconds: number) => {
    report = await runSoak({
        seed,
        hosts: 3,
        modelEngines: 3,
        plainEngines: 2,
        lengthMs: seconds * 1000,
        clients: 6,
    });
});

Then("the soak found nothing", () => {
    deepStrictEqual(report.broken, [], JSON.stringify(report.plan));
    ok(report.answered > 0);
});

Then("every line that the processes logged is readable", () => {
    const logged = report.logs.map(line => JSON.parse(line) as LogLine);
    ok(logged.length > 0);
    deepStrictEqual(logged.filter(line => "unreadable" in line || "stderr" in line), []);
});

When(
    "a soak fleet of {int} hosts serves a {string} request",
    { timeout: STEP_TIMEOUT_MS },
    async (hosts: number, kind: string) => {
        const fleet = await startSoakFleet({ hosts, modelEngines: 2, plainEngines: 1 });
        try {
            ok(await waitUntilReady(fleet, START_MS), "the hosts are not ready");
            const [front] = fleet.fronts;
            ok(front !== undefined);
            for (let attempt = 0; attempt < ATTEMPTS && answer?.status !== 200; attempt += 1) {
                answer = await sendRequest(createTraced(kind, attempt), toTarget(front), new Agent());
                await setTimeout(RETRY_MS);
            }
            front.signal("SIGTERM");
            await front.waitForEnd();
            lines = front.log;
        }
        finally {
            await fleet.close();
        }
    },
);

Then("the log of its host tells the request's way by its id", () => {
    strictEqual(answer?.status, 200);
    const events = lines.filter(line => line["id"] === answer?.req.id).map(line => line["event"]);
    ok(events.includes(405), `sent: ${JSON.stringify(events)}`);
    ok(events.length >= 2, `sent and ended: ${JSON.stringify(events)}`);
    ok(lines.some(line => line["event"] === 103), "the stop is logged");
});

function createTraced(kind: string, attempt: number): SoakRequest {
    return {
        id: `traced-${attempt}`,
        kind: kind as SoakRequest["kind"],
        hostName: HOST_NAME,
        path: "/answers/traced",
        body: "",
        deadlineMs: 5000,
        leastVersion: 0,
        generation: { model: MODEL, adapter: "a7", events: 5 },
    };
}
