import { deepStrictEqual, ok, Then, When } from "@fulmarcleat/testing";
import { runNotices } from "./runNotices.js";
import type { NoticesReport } from "./runNotices.js";

const STEP_TIMEOUT_MS = 60_000;
/** Paths of reports and orders, which are no requests of clients. */
const CONTROL_PATH = /^\/fulmarcleat\//;

let report: NoticesReport;

When(
    "engines of a front process leave, or pause for {int} ms, while clients send requests",
    { timeout: STEP_TIMEOUT_MS },
    async (pauseMs: number) => {
        report = await runNotices(pauseMs);
    },
);

Then("the leaving engine gets no request later than {int} ms after it has said so", (graceMs: number) => {
    const { arrivals, saidMs } = report.leaving;
    const told = arrivals.find(({ atMs, path }) => atMs >= saidMs && !CONTROL_PATH.test(path));
    ok(told !== undefined, "it was not asked");
    const late = arrivals.filter(({ atMs, path }) => atMs > told.atMs + graceMs && !CONTROL_PATH.test(path));
    deepStrictEqual(late, []);
});

Then(
    "from {int} ms after its first word to the end of its pause each pausing engine gets at most {int} requests, reports and orders",
    (graceMs: number, most: number) => {
        for (const { arrivals, untilMs } of report.pausing) {
            const first = arrivals.find(({ pausedUntilMs }) => pausedUntilMs !== undefined);
            ok(first !== undefined, "it was not asked");
            const late = arrivals.filter(({ atMs }) => atMs > first.atMs + graceMs && atMs < untilMs);
            ok(late.length <= most, late.map(({ atMs, path }) => `${path} at ${atMs}`).join(", "));
        }
    },
);

Then("each pausing engine gets requests after its pause", () => {
    for (const { arrivals, untilMs } of report.pausing) {
        ok(arrivals.some(({ atMs, path }) => atMs >= untilMs && !CONTROL_PATH.test(path)));
    }
});

Then("no answer or run of the front process violates a guarantee", () => deepStrictEqual(report.violations, []));
