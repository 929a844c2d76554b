import { createManualClock, sleep } from "@fulmarcleat/ids";
import { ok, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import { finishRequests } from "./finishRequests.js";

const STEP_MS = 10;
/** Time after which every row has ended, in milliseconds. */
const END_MS = 6000;

let exitMs: number | undefined;

When(
    "a host stops at 0 ms with requests in flight from {string} ms, a release that takes {int} ms, and at most {int} ms",
    async (requests: string, releaseMs: number, limitMs: number) => {
        const clock = createManualClock(0);
        const spans = requests.split(" ").filter(text => text !== "").map(text => text.split("-").map(Number));
        const countRunning = (): number =>
            spans.filter(([from = 0, to = 0]) => clock.nowMs() >= from && clock.nowMs() < to).length;
        exitMs = undefined;
        const options = { clock, countRunning, closeIdle: () => undefined, limitMs };
        void finishRequests({ ...options, release: () => sleep(clock, releaseMs) })
            .then(() => void (exitMs = clock.nowMs()));
        for (let passedMs = 0; passedMs < END_MS && exitMs === undefined; passedMs += STEP_MS) {
            clock.advance(STEP_MS);
            await setImmediate();
        }
    },
);

Then("it exits between {int} and {int} ms", (last: number, latest: number) => {
    ok(exitMs !== undefined && exitMs >= last && exitMs <= latest, `${exitMs} ms`);
});
