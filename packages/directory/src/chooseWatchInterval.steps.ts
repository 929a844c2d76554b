import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { chooseWatchInterval } from "./chooseWatchInterval.js";

Then(
    "the watch interval with {int} hosts is {int} ms, and all hosts make at most {int} calls a second",
    (hosts: number, intervalMs: number, calls: number) => {
        const chosenMs = chooseWatchInterval(hosts, 350, 18);
        strictEqual(chosenMs, intervalMs);
        ok(hosts * 1000 / chosenMs <= calls, `${hosts * 1000 / chosenMs} calls`);
    },
);
