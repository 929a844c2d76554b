import { fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { NO_MEDIANS } from "./computeMedians.js";
import { estimatePace } from "./estimatePace.js";
import type { LearnedPace } from "./learnedPace.js";
import { UNKNOWN_PERFORMANCE } from "./reducePerformance.js";

const DEFAULTS = { eventTokens: 4, isPlain: false };
/** Range around the medians, with a margin for rounding. */
const MAX_FACTOR = 8.001;

Then(/^the pace for (.*) with medians (.*) is (.*)$/, (learned: string, medians: string, expected: string) => {
    const pace = estimatePace(
        learned === "" ? undefined : { ...UNKNOWN_PERFORMANCE.learned, ...parseValues(learned) },
        { ...NO_MEDIANS, ...parseValues(medians) },
        DEFAULTS,
    );
    const texts = [pace.promptTokensPerMs, pace.eventMs, pace.idleFirstByteMs, pace.workMs].map(value =>
        String(Number(value.toFixed(1)))
    );
    strictEqual(`tokens ${texts[0]} event ${texts[1]} idle ${texts[2]} work ${texts[3]}`, expected);
});

Then("all paces are positive, finite and within a factor of 8 of the medians", () => {
    const median = fc.double({ min: 0.01, max: 1000, noNaN: true });
    const value = fc.option(fc.double(), { nil: undefined });
    const learned = fc.record({
        tokenMs: value,
        eventMs: value,
        idleMs: value,
        workMs: value,
        reads: fc.double(),
        events: fc.double(),
        works: fc.double(),
    });
    const medians = fc.record({ tokenMs: median, eventMs: median, idleMs: median, workMs: median });
    fc.assert(
        fc.property(learned, medians, (own, all) => {
            const pace = estimatePace(own, all, DEFAULTS);
            const ratios = [
                1 / pace.promptTokensPerMs / all.tokenMs,
                pace.eventMs / all.eventMs,
                pace.idleFirstByteMs / all.idleMs,
                pace.workMs / all.workMs,
            ];
            ok(ratios.every(ratio => ratio <= MAX_FACTOR && ratio >= 1 / MAX_FACTOR), String(ratios));
        }),
        { seed: 31, numRuns: 2000 },
    );
});

function parseValues(text: string): Partial<LearnedPace> {
    return Object.fromEntries(
        text.split(" ").filter(part => part !== "").map(part => {
            const [name = "", value] = part.split("=");
            return [name, Number(value)];
        }),
    );
}
