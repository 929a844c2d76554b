import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { readSlowdown, reduceWorkFactor, UNKNOWN_WORK_FACTOR } from "./reduceWorkFactor.js";
import type { WorkFactor } from "./reduceWorkFactor.js";

/** Interval between two statements, in milliseconds. */
const STATEMENT_INTERVAL_MS = 2000;

let state: WorkFactor;
let atMs = 0;

Given(/^statements of ([\d.]+) percent, (\d+) times$/, (percent: string, times: string) => {
    state = UNKNOWN_WORK_FACTOR;
    for (atMs = 0; atMs < Number(times) * STATEMENT_INTERVAL_MS; atMs += STATEMENT_INTERVAL_MS) {
        state = reduceWorkFactor(state, Number(percent), atMs);
    }
});

When(
    /^it states ([\d.]+) percent$/,
    (percent: string) => void (state = reduceWorkFactor(state, Number(percent), atMs)),
);

Then(/^its slowdown (\d+) ms later is ([\d.]+)$/, (age: string, slowdown: string) => {
    strictEqual(readSlowdown(state, atMs + Number(age)), Number(slowdown));
});
