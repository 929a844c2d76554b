import { createRandom } from "@fulmarcleat/ids";
import { deepStrictEqual, ok, Then, When } from "@fulmarcleat/testing";
import { createRateGrants } from "./createRateGrants.js";
import type { RateGrant } from "./createRateGrants.js";

const STEP_MS = 5;
const MS_PER_S = 1000;
const WINDOW_MS = 4000;
/** Seeds that each row is played with. */
const SEEDS = 20;

interface Play {
    /** Clock readings of the sends before the first request and of the granted ones. */
    readonly sentMs: readonly number[];
    readonly grantedMs: readonly number[];
}

let plays: Play[] = [];
let limit = 0;
let seconds = 0;

When(
    /^a granter (alone|and a substitute) is asked (\d+) times a second for (\d+) s at a limit of ([\d.]+), after (\d+) sends$/,
    (kind: string, demand: string, lengthS: string, rate: string, before: string) => {
        limit = Number(rate);
        seconds = Number(lengthS);
        plays = [];
        for (let seed = 1; seed <= SEEDS; seed += 1) {
            plays.push(play(seed, Number(demand), Number(before), kind === "and a substitute"));
        }
    },
);

/** Asks the granter, and a substitute for half of the requests, at random times; sends before come in the last second. */
function play(seed: number, demand: number, before: number, hasSubstitute: boolean): Play {
    const random = createRandom(seed);
    const granter = createRateGrants(limit, 0);
    const substitute = createRateGrants(limit, 0);
    const beforeMs = Array.from({ length: before }, () => -MS_PER_S * random.next());
    granter.setSends("host-1", beforeMs.slice(0, before / 2));
    granter.setSends("host-2", beforeMs.slice(before / 2));
    const grantedMs: number[] = [];
    for (let atMs = 0; atMs < seconds * MS_PER_S; atMs += STEP_MS) {
        if (random.next() >= demand * STEP_MS / MS_PER_S) {
            continue;
        }
        const isSubstitute = hasSubstitute && random.next() < 0.5;
        const grants = isSubstitute ? substitute : granter;
        if (grants.request({ priority: 0, isSubstitute, atMs }).kind === "granted") {
            grantedMs.push(atMs);
        }
    }
    return { sentMs: [...beforeMs, ...grantedMs], grantedMs };
}

Then("no {int} s from then on hold more than {float} times the limit and {int} requests", (windowS, factor, extra) => {
    const allowed = factor * limit * windowS + extra;
    for (const { sentMs } of plays) {
        for (const endMs of sentMs.filter(atMs => atMs >= 0)) {
            const count = sentMs.filter(atMs => atMs > endMs - WINDOW_MS && atMs <= endMs).length;
            ok(count <= allowed, `${count} requests in 4 s, allowed ${allowed}`);
        }
    }
});

Then("at least {int} in 100 of the limit is used", (percent: number) => {
    for (const { grantedMs } of plays) {
        const used = grantedMs.length / (limit * seconds);
        ok(limit === 0 || used * 100 >= percent, `${Math.round(used * 100)} in 100 of the limit used`);
    }
});

let grantedByPriority = new Map<number, number>();
let askedByPriority = new Map<number, number>();

When(
    "requests of priority {int} come {int} times a second and of priority {int} {int} times, for {int} s at a limit of {int}",
    (urgent, urgentDemand, other, otherDemand, lengthS, rate) => {
        limit = rate;
        seconds = lengthS;
        grantedByPriority = new Map();
        askedByPriority = new Map();
        const random = createRandom(1);
        const grants = createRateGrants(rate, 0);
        const due: { readonly atMs: number; readonly priority: number }[] = [];
        for (let atMs = 0; atMs < lengthS * MS_PER_S; atMs += STEP_MS) {
            for (const [priority, demand] of [[urgent, urgentDemand], [other, otherDemand]] as const) {
                if (random.next() < demand * STEP_MS / MS_PER_S) {
                    askedByPriority.set(priority, (askedByPriority.get(priority) ?? 0) + 1);
                    due.push({ atMs, priority });
                }
            }
            for (const ask of due.splice(0).sort((a, b) => a.atMs - b.atMs)) {
                if (ask.atMs > atMs) {
                    due.push(ask);
                    continue;
                }
                const grant = grants.request({ priority: ask.priority, isSubstitute: false, atMs });
                if (grant.kind === "granted") {
                    grantedByPriority.set(ask.priority, (grantedByPriority.get(ask.priority) ?? 0) + 1);
                }
                else if (ask.priority === urgent) {
                    due.push({ atMs: atMs + grant.readyInMs, priority: ask.priority });
                }
            }
        }
    },
);

Then("at least {int} in 100 of those of priority {int} are granted", (percent: number, priority: number) => {
    const share = (grantedByPriority.get(priority) ?? 0) / (askedByPriority.get(priority) ?? 0);
    ok(share * 100 >= percent, `${Math.round(share * 100)} in 100`);
});

Then("at least {int} in 100 of the rest of the limit goes to priority {int}", (percent: number, priority: number) => {
    const granted = [...grantedByPriority.values()].reduce((sum, count) => sum + count, 0);
    const others = grantedByPriority.get(priority) ?? 0;
    const rest = limit * seconds - (granted - others);
    ok(others * 100 >= rest * percent, `${others} of ${rest}`);
});

let answers: readonly RateGrant[] = [];

When("{int} requests come at once at a limit of {int}", (count: number, rate: number) => {
    const grants = createRateGrants(rate, 0);
    answers = Array.from({ length: count }, () => grants.request({ priority: 0, isSubstitute: false, atMs: 0 }));
});

Then("{int} is granted and the others are told to return {int} ms after each other", (count: number, gapMs: number) => {
    const [granted, refused] = [answers.slice(0, count), answers.slice(count)];
    deepStrictEqual(granted, granted.map(() => ({ kind: "granted" })));
    deepStrictEqual(refused, [...refused.keys()].map(index => ({ kind: "refused", readyInMs: (index + 1) * gapMs })));
});

let grantsByStage: number[] = [];

When(
    /^a granter is asked (\d+) times a second for (\d+) s at a limit of ([\d.]+), then of ([\d.]+), then of ([\d.]+)$/,
    (demand: string, lengthS: string, first: string, second: string, third: string) => {
        const rates = [first, second, third];
        const grants = createRateGrants(Number(first), 0);
        const gapMs = MS_PER_S / Number(demand);
        const stageMs = Number(lengthS) * MS_PER_S;
        grantsByStage = rates.map((rate, stage) => {
            grants.setRate(Number(rate));
            let count = 0;
            for (let atMs = stage * stageMs; atMs < (stage + 1) * stageMs; atMs += gapMs) {
                count += grants.request({ priority: 0, isSubstitute: false, atMs }).kind === "granted" ? 1 : 0;
            }
            return count;
        });
    },
);

Then("it grants {int}, {int} and {int} requests, give or take {int}", (first, second, third, slack) => {
    [first, second, third].forEach((expected: number, stage) => {
        const granted = grantsByStage[stage] ?? 0;
        ok(Math.abs(granted - expected) <= slack, `stage ${stage}: ${granted} granted, expected ${expected}`);
    });
});
