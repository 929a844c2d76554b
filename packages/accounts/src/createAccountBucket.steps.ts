import type { RateLimit } from "@fulmarcleat/directory";
import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import { fc, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createAccountBucket } from "./createAccountBucket.js";
import type { AccountBucket } from "./createAccountBucket.js";

const SEED = 11;
const BOUND = { windowMs: 8000, excessRatio: 0.1, slack: 110_000 } as const;
const LARGEST = 51_000;
const MS_PER_S = 1000;
/** Changes of the granter of which the last one is to a granter that has started anew; a return is every second one. */
const RESTART_EVERY = 6;
/** Length of a random history, in milliseconds. */
const HISTORY_MS = 40_000;
const LONG_MS = 100_000;

interface Sent {
    readonly atMs: number;
    readonly cost: number;
    hasRun: boolean;
}

interface History {
    readonly perSecond: number;
    readonly burst: number;
    readonly seed: number;
    /** Mean time between two batches, in milliseconds. */
    readonly gapMs: number;
    /** Share of the replies that are lost, and of the granted requests that are returned. */
    readonly lost: number;
    readonly returned: number;
    /** Whether the granter's clock goes on while another one grants; a frozen granter skips that time. */
    readonly isFrozen: boolean;
}

const historyArbitrary = fc.record({
    perSecond: fc.integer({ min: 29_000, max: 640_000 }),
    burst: fc.integer({ min: 0, max: 1_280_000 }),
    seed: fc.integer(),
    gapMs: fc.constantFrom(5, 20, 60),
    lost: fc.constantFrom(0, 0.1, 0.5),
    returned: fc.constantFrom(0, 0.3),
    isFrozen: fc.boolean(),
});

function toLimit(perSecond: number, burst: number, unit: RateLimit["unit"] = "tokens"): RateLimit {
    return { unit, perSecond, burst, requestTokens: 900 };
}

/**
 * Plays a granter and its substitute, of which one grants at a time. They change at the times given; the granter starts
 * anew without memory at every third return if `restarts` is set, and else learns what the substitute has granted.
 */
function play(
    history: History,
    nextChange: (random: Random, toSubstitute: boolean) => number,
    restarts: boolean,
): void {
    const { perSecond, burst, gapMs, lost, returned, isFrozen } = history;
    const random = createRandom(history.seed);
    const limit = toLimit(perSecond, burst);
    const sent: Sent[] = [];
    let granter = createAccountBucket(limit, BOUND, 0);
    granter.takeOver(1, 0);
    const substitute = createAccountBucket(limit, BOUND, 0);
    substitute.release(0);
    let period = 1;
    let isSubstitute = false;
    let leftMs = 0;
    let changes = 0;
    let changeMs = nextChange(random, true);
    for (let atMs = 0; atMs < HISTORY_MS; atMs += Math.ceil(-Math.log(1 - random.next()) * gapMs)) {
        if (atMs >= changeMs) {
            changes += 1;
            isSubstitute = !isSubstitute;
            period += 1;
            if (isSubstitute) {
                leftMs = atMs;
                substitute.takeOver(period, atMs);
            }
            else {
                if (restarts && changes % RESTART_EVERY === 0) {
                    granter = createAccountBucket(limit, BOUND, atMs);
                    granter.takeOver(period, atMs);
                }
                else if (isFrozen) {
                    granter.skipPause(atMs - leftMs, atMs);
                }
                granter.merge(substitute.readInterim(atMs), atMs);
                substitute.release(atMs);
            }
            changeMs = atMs + nextChange(random, !isSubstitute);
        }
        const bucket: AccountBucket = isSubstitute ? substitute : granter;
        const costs = Array.from(
            { length: 1 + Math.floor(random.next() * 4) },
            () => Math.ceil(LARGEST * random.next() ** 3),
        );
        const { granted } = bucket.request(costs, atMs);
        if (random.next() < lost) {
            continue;
        }
        for (const cost of costs.slice(0, granted)) {
            const isReturned = random.next() < returned;
            sent.push({ atMs, cost, hasRun: !isReturned });
            if (isReturned) {
                bucket.giveBack(cost, 0, atMs);
            }
        }
    }
    ok(changes > 0 && sent.length > 0);
    checkWindows(sent.filter(({ hasRun }) => hasRun), (perSecond * 8 + burst) * 1.1 + BOUND.slack);
}

function checkWindows(sent: readonly Sent[], allowed: number): void {
    let sum = 0;
    let first = 0;
    for (const { atMs, cost } of sent) {
        sum += cost;
        while ((sent[first]?.atMs ?? Infinity) <= atMs - BOUND.windowMs) {
            sum -= sent[first]?.cost ?? 0;
            first += 1;
        }
        ok(sum <= allowed, `${sum} in a window, allowed ${allowed}`);
    }
}

Then(
    "in {int} random histories with at most one takeover per window no window exceeds the bound",
    (numRuns: number) => {
        fc.assert(
            fc.property(
                historyArbitrary,
                history =>
                    play(
                        history,
                        (random, toSubstitute) =>
                            toSubstitute ? BOUND.windowMs + random.next() * 4000 : random.next() * 3000,
                        true,
                    ),
            ),
            { numRuns, seed: SEED },
        );
    },
);

Then(
    "in {int} random histories in which granter and substitute alternate every {int} ms no window exceeds the bound",
    (numRuns: number, everyMs: number) => {
        fc.assert(
            fc.property(historyArbitrary, history => play(history, random => everyMs * (0.5 + random.next()), false)),
            { numRuns, seed: SEED },
        );
    },
);

Then(
    /^a new bucket of (\d+) (tokens|requests) a second with a burst of (\d+) grants (\d+) units in steps of 1$/,
    (rate: string, unit: RateLimit["unit"], burst: string, start: string) => {
        const bucket = createAccountBucket(toLimit(Number(rate), Number(burst), unit), BOUND, 0);
        const { granted } = bucket.request(Array.from({ length: Number(start) * 2 }, () => 1), 0);
        strictEqual(granted, Number(start));
    },
);

Then(
    "a full bucket whose burst goes from {int} to {int} at {int} tokens a second has a level of {int}",
    (before: number, after: number, perSecond: number, expected: number) => {
        const bucket = createAccountBucket(toLimit(perSecond, before), BOUND, 0);
        bucket.readInterim(LONG_MS);
        bucket.setLimit(toLimit(perSecond, after), BOUND);
        const { level } = bucket.readInterim(LONG_MS);
        ok(
            level <= Math.max(before, after) * 1.1 + LARGEST && Math.abs(level - expected) <= expected * 0.05,
            `${level}`,
        );
    },
);

let bucket: AccountBucket;
let granted: readonly number[] = [];
let readyInMs = 0;

Given("a bucket of {int} tokens a second with a burst of {int}", (perSecond: number, burst: number) => {
    bucket = createAccountBucket(toLimit(perSecond, burst), BOUND, 0);
});

When(
    "it is asked for {int}, {int}, {int}, {int} and {int} tokens {int} ms after its start",
    (first: number, second: number, third: number, fourth: number, fifth: number, atMs: number) => {
        const grants = [first, second, third, fourth, fifth].map(cost => bucket.request([cost], atMs));
        granted = grants.map(grant => grant.granted);
        readyInMs = grants.at(-1)?.readyInMs ?? 0;
    },
);

Then(
    "it grants the first two, and none after the first refusal until {int} ms later",
    (expectedMs: number) => {
        strictEqual(granted.join(), "1,1,0,0,0");
        ok(Math.abs(readyInMs - expectedMs) <= 10, `${readyInMs} ms`);
    },
);

Then("it grants all of them", () => strictEqual(granted.join(), "1,1,1,1,1"));

When("{int} times {int} tokens are given back", (count: number, cost: number) => {
    for (let index = 0; index < count; index += 1) {
        bucket.giveBack(cost, 0, MS_PER_S);
    }
});

Then("its level is {int} at most", (most: number) => {
    const { level } = bucket.readInterim(MS_PER_S);
    ok(level <= most * 1.01, `${level}`);
});
