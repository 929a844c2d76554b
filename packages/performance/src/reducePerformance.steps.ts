import { fc, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { fadeLearned, OWNER_SAMPLES, reducePerformance, UNKNOWN_PERFORMANCE } from "./reducePerformance.js";
import type { EnginePerformance, PerformanceSample } from "./reducePerformance.js";

/** Largest step, with a margin for rounding. */
const MAX_FACTOR = 1.5001;
/** Number of observations of the engine with known speed. */
const OBSERVATIONS = 24;
const IDLE_MS = 20;

let state: EnginePerformance;
let atMs = 0;

Then("every estimate moves by a factor of at most 1.5 with one sample and stays positive and finite", () => {
    const sample = fc.record<PerformanceSample & { waitMs: number }>({
        kind: fc.constantFrom("event", "first_byte", "work"),
        ms: fc.oneof(fc.double(), fc.double({ min: 0, max: 5000, noNaN: true })),
        tokens: fc.oneof(fc.double(), fc.integer({ min: 0, max: 50_000 })),
        waitMs: fc.integer({ min: 0, max: 60_000 }),
    });
    fc.assert(
        fc.property(fc.array(sample, { maxLength: 80 }), samples => {
            let former = UNKNOWN_PERFORMANCE;
            let nowMs = 0;
            for (const { waitMs, ...next } of samples) {
                nowMs += waitMs;
                const current = reducePerformance(former, next, nowMs, OWNER_SAMPLES);
                for (const quantity of ["tokenMs", "eventMs", "idleMs", "workMs"] as const) {
                    const [from, to] = [former.learned[quantity], current.learned[quantity]];
                    ok(to === undefined || to > 0 && Number.isFinite(to));
                    ok(from === undefined || to !== undefined && to / from <= MAX_FACTOR && from / to <= MAX_FACTOR);
                }
                ok(current.firstBytes.length <= OWNER_SAMPLES && current.events.length <= OWNER_SAMPLES);
                former = current;
            }
        }),
        { seed: 32, numRuns: 300 },
    );
});

Given(/^an engine of which (\d+) events of (\d+) ms have been observed$/, (count: string, ms: string) => {
    state = UNKNOWN_PERFORMANCE;
    atMs = 0;
    for (let event = 0; event < Number(count); event += 1) {
        state = reducePerformance(state, { kind: "event", ms: Number(ms), tokens: 0 }, atMs, OWNER_SAMPLES);
    }
});

When(/^(\d+) ms pass for the engine$/, (ms: string) => void (atMs += Number(ms)));

Then(
    /^its certainty of (events|first bytes) is (\d+)$/,
    (what: string, certainty: string) =>
        strictEqual(fadeLearned(state, atMs)[what === "events" ? "events" : "reads"], Number(certainty)),
);

Given(/^observations of an engine at (\d+) tokens in a millisecond$/, (tokensPerMs: string) => {
    state = UNKNOWN_PERFORMANCE;
    for (let at = 0; at < OBSERVATIONS; at += 1) {
        const tokens = at % 3 === 0 ? 0 : 2000 + at * 100;
        observe(IDLE_MS + tokens / Number(tokensPerMs), tokens);
    }
});

When(/^its next first byte takes (\d+) ms$/, (ms: string) => observe(Number(ms), 4000));

Then(/^it is taken to read (\d+) to (\d+) tokens in a millisecond$/, (from: string, to: string) => {
    const tokensPerMs = 1 / (state.learned.tokenMs ?? 0);
    ok(tokensPerMs >= Number(from) && tokensPerMs <= Number(to), String(tokensPerMs));
});

function observe(ms: number, tokens: number): void {
    atMs += 300;
    state = reducePerformance(state, { kind: "first_byte", ms, tokens }, atMs, OWNER_SAMPLES);
}
