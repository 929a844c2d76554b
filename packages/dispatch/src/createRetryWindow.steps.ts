import { createRandom } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createRetryWindow } from "./createRetryWindow.js";
import type { RetryWindow } from "./createRetryWindow.js";

const WINDOW_MS = 10_000;
let retryWindow: RetryWindow;
let terms = { ratio: 0, reserve: 0, hosts: 1 };
let allowed: number[] = [];
let requests: number[] = [];

Given(
    "a retry window with ratio {float}, reserve {int} and {int} hosts",
    (ratio: number, reserve: number, hosts: number) => {
        terms = { ratio, reserve, hosts };
        allowed = [];
        requests = [];
        retryWindow = createRetryWindow({ ratio, reserve, windowMs: WINDOW_MS, countHosts: () => hosts });
    },
);

When("the retry window receives {int} retry attempt(s) at {int} ms", (times: number, atMs: number) => {
    for (let attempt = 0; attempt < times; attempt += 1) {
        trySpend(atMs);
    }
});

When("the retry window records {int} requests at {int} ms", (count: number, atMs: number) => {
    for (let added = 0; added < count; added += 1) {
        addRequest(atMs);
    }
});

When("{int} seeded requests over {int} s each attempt two retries", (count: number, seconds: number) => {
    const random = createRandom(7);
    const times = Array.from({ length: count }, () => random.next() * seconds * 1000).sort((a, b) => a - b);
    for (const atMs of times) {
        addRequest(atMs);
        trySpend(atMs);
        trySpend(atMs);
    }
});

Then("the retry window allowed {int}", (count: number) => strictEqual(allowed.length, count));

Then("no window of 10 s holds more retries than its budget", () => {
    ok(allowed.length > 0);
    for (const endMs of allowed) {
        const spent = countIn(allowed, endMs);
        const most = countIn(requests, endMs) * terms.ratio + terms.reserve / terms.hosts;
        ok(spent <= most, `${spent} retries, ${most} allowed at ${endMs}`);
    }
});

function trySpend(atMs: number): void {
    if (retryWindow.trySpend(atMs)) {
        allowed.push(atMs);
    }
}

function addRequest(atMs: number): void {
    requests.push(atMs);
    retryWindow.addRequest(atMs);
}

function countIn(times: readonly number[], endMs: number): number {
    return times.filter(time => time > endMs - WINDOW_MS && time <= endMs).length;
}
