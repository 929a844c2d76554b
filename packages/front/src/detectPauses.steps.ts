import type { Clock } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { detectPauses } from "./detectPauses.js";

const STEP_MS = 250;

let nowMs = 0;
let wallMs = 0;
let pending: (() => void) | undefined;
let pauses: number[] = [];

Given("a pause detector", () => {
    nowMs = 0;
    wallMs = 1_000_000;
    pauses = [];
    const clock: Clock = {
        nowMs: () => nowMs,
        wallMs: () => wallMs,
        setTimer(delayMs, fire) {
            pending = fire;
            return () => undefined;
        },
    };
    detectPauses(clock, pausedMs => void pauses.push(pausedMs));
});

When(/^the process (runs for|is delayed by|is suspended for) (\d+) ms$/, (what: string, text: string) => {
    const ms = Number(text);
    if (what === "runs for") {
        for (let passed = 0; passed < ms; passed += STEP_MS) {
            advance(STEP_MS, STEP_MS);
        }
        return;
    }
    advance(what === "is suspended for" ? STEP_MS : STEP_MS + ms, STEP_MS + ms);
});

Then("the reported pauses are {string} ms", (expected: string) => strictEqual(pauses.join(" "), expected));

function advance(monotonicMs: number, wallClockMs: number): void {
    nowMs += monotonicMs;
    wallMs += wallClockMs;
    pending?.();
}
