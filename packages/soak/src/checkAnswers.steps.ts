import type { StandinRun } from "@fulmarcleat/platform-standin";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { checkAnswers } from "./checkAnswers.js";
import type { SoakAnswer, SoakRequest } from "./sendRequest.js";

const FIRST_EVENT = "id: 1\ndata: r1 1/2 v1\n\n";
const COMPLETE_STREAM = `${FIRST_EVENT}id: 2\ndata: r1 2/2 v1\n\n`;

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
            account: undefined,
            hasKey: false,
            startedAtMs: 0,
        };
        runs = times === "twice" ? [run, run] : [run];
    },
);

When(/^its client received (\d+)(?: (.*))?$/, (status: string, defect: string | undefined) => {
    const plainText = `r1:${req.kind === "unsafe" ? req.body.length : 0}`;
    const wholeText = req.kind === "streaming" ? COMPLETE_STREAM : plainText;
    const isMixed = defect?.includes("mixed") === true;
    const expectedText = isMixed ? wholeText.replace("2/2 v1", "2/2 v2") : wholeText;
    const answer: SoakAnswer = {
        req,
        host: "front-0",
        sentAtMs: 0,
        endedAtMs: 1,
        status: Number(status),
        isComplete: defect !== "cut",
        hasSignature: defect !== "unproved",
        text: defect === "with a gap" ? FIRST_EVENT : expectedText,
    };
    const answers = defect?.startsWith("resumed") === true ? splitAnswer(answer) : [answer];
    violations = checkAnswers(answers, { runs, invalidOrders: [] });
});

/** Splits an answer after its first event into one that broke off and one that resumed it. */
function splitAnswer(answer: SoakAnswer): readonly SoakAnswer[] {
    const resumed = { requestId: req.id, afterEvent: 1 };
    return [
        { ...answer, isComplete: false, text: FIRST_EVENT },
        { ...answer, req: { ...req, id: "r1+1", resumed }, text: answer.text.slice(FIRST_EVENT.length) },
    ];
}

Then("the soak reports {string}", (codes: string) => {
    strictEqual(violations.map(line => line.split(" ")[0]).join(" "), codes);
});
