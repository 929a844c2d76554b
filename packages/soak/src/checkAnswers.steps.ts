import type { StandinRun } from "@fulmarcleat/platform-standin";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { checkAnswers } from "./checkAnswers.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";

const COMPLETE_STREAM = "id: 1\ndata: r1 1/2\n\nid: 2\ndata: r1 2/2\n\n";

let req: SoakRequest;
let runs: readonly StandinRun[] = [];
let violations: readonly string[] = [];

Given(
    /^a "(safe|unsafe|streaming)" soak request that ran (once|twice|under another id)(?: on (\w+) version (\d+))?$/,
    (kind: SoakRequest["kind"], times: string, adapter: string | null, version: string | null) => {
        const generation = kind === "streaming" ? { model: "base", adapter: "a1", events: 2 } : undefined;
        req = { id: "r1", kind, hostName: "h", deadlineMs: 1000, path: "/p/", body: "12", minVersion: 2, generation };
        const run: StandinRun = {
            requestId: times === "under another id" ? "r2" : "r1",
            engine: "i-1",
            path: "/p/",
            adapter: adapter ?? undefined,
            version: version === null ? undefined : Number(version),
            startedAtMs: 0,
        };
        runs = times === "twice" ? [run, run] : [run];
    },
);

When(/^its client received (\d+)(?: (.*))?$/, (status: string, defect: string | undefined) => {
    const plainText = `r1:${req.kind === "unsafe" ? req.body.length : 0}`;
    const expectedText = req.kind === "streaming" ? COMPLETE_STREAM : plainText;
    const answer: SoakAnswer = {
        req,
        host: "front-0",
        sentAtMs: 0,
        endedAtMs: 1,
        status: Number(status),
        isComplete: defect !== "cut",
        hasSignature: defect !== "unproved",
        text: defect === "with a gap" ? expectedText.slice(0, expectedText.indexOf("id: 2")) : expectedText,
    };
    violations = checkAnswers([answer], { runs, invalidOrders: [] });
});

Then("the soak reports {string}", (codes: string) => {
    strictEqual(violations.map(line => line.split(" ")[0]).join(" "), codes);
});
