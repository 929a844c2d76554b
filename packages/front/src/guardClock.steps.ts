import { createMetrics } from "@fulmarcleat/events";
import type { EventFields, Metrics } from "@fulmarcleat/events";
import { createManualClock, repeat } from "@fulmarcleat/ids";
import type { Clock, ManualClock } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { guardClock } from "./guardClock.js";
import { recordRejection } from "./recordRejection.js";
import { runEach } from "./runEach.js";

let manual: ManualClock;
let metrics: Metrics;
let logged: EventFields[] = [];
let done: string[] = [];
let runs = 0;

const log = {
    write(level: string, event: number, fields: EventFields = {}) {
        strictEqual(event, 110);
        logged.push(fields);
    },
};

Given("a task that is repeated each {int} ms on a guarded clock and throws {}", (intervalMs: number, when: string) => {
    const clock = createClock();
    repeat(clock, intervalMs, () => {
        runs += 1;
        if (when === "at its second run" && runs === 2 || when === "from its third run" && runs >= 3) {
            throw new URIError("URI malformed");
        }
    });
});

When("{int} ms pass on the guarded clock", (ms: number) => manual.advance(ms));

Then("the task has run {int} times and {int} errors are logged and counted", (expected: number, errors: number) => {
    strictEqual(runs, expected);
    strictEqual(logged.length, errors);
    strictEqual(metrics.read("task_failures_total", { step: "timer" }), errors);
});

When("a step runs for the items {string}", (items: string) => {
    createClock();
    done = [];
    runEach(log, "test", items.split(" "), item => item, item => {
        if (item === "odd") {
            throw new Error("odd");
        }
        done.push(item);
    });
});

Then("it has run for {string} and logged {string}", (expected: string, failed: string) => {
    deepStrictEqual(done, expected.split(" "));
    deepStrictEqual(logged.map(({ name }) => name), [failed]);
});

When("a call that nothing waits for is rejected", () => {
    createClock();
    recordRejection({ log, metrics }, new Error("odd"));
});

Then("{int} rejection is logged and counted", (count: number) => {
    strictEqual(logged.length, count);
    strictEqual(metrics.read("task_failures_total", { step: "call" }), count);
});

function createClock(): Clock {
    manual = createManualClock(0);
    metrics = createMetrics();
    logged = [];
    runs = 0;
    return guardClock(manual, { log, metrics });
}
