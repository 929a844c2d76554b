import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { chooseWatchWait } from "./chooseWatchWait.js";

let cycleMs = 0;

Then(
    "a watch with an interval of {int} ms and a bound of {int} ms waits {int} ms at the store",
    (intervalMs: number, maxAgeMs: number, waitMs: number) => {
        strictEqual(chooseWatchWait(intervalMs, maxAgeMs), waitMs);
        cycleMs = intervalMs + waitMs;
    },
);

Then(
    "while nothing changes {int} hosts with such a watch make at most {int} calls a second",
    (hosts: number, calls: number) => ok(hosts * 1000 / cycleMs <= calls, `${hosts * 1000 / cycleMs} calls`),
);
