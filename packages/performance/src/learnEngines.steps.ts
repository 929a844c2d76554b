import { createRandom } from "@fulmarcleat/ids";
import { ok, Then, When } from "@fulmarcleat/testing";
import { computeMedians } from "./computeMedians.js";
import { estimatePace } from "./estimatePace.js";
import { createFakeEngine, observeRequest } from "./fakeEngine.steps.js";
import type { FakeEngine } from "./fakeEngine.steps.js";
import { fadeLearned, OWNER_SAMPLES, reducePerformance } from "./reducePerformance.js";

const DEFAULTS = { eventTokens: 4, isPlain: false };
const ENGINES = 98;
const SLOW = 0.55;
const FAST = 1.2;
/** Tokens a millisecond that part engines of the two speeds: geometric mean of what both read in pieces. */
const BETWEEN_TOKENS_PER_MS = 27.4;
const MS_PER_S = 1000;
const HOSTS = 70;
const REQUESTS_PER_HOST_S = 4;
/** Requests a second that one engine gets from all hosts. */
const REQUESTS_PER_ENGINE_S = 3;
const PERIOD_MS = 600;
/** Time in which an engine is slow, and time for which it is tracked, in milliseconds. */
const SLOW_FROM_MS = 20_000;
const SLOW_TO_MS = 26_000;
const TRACKED_MS = 60_000;

let wrongShare = 0;
let ratios: number[] = [];
let downMs: number[] = [];
let upMs: number[] = [];

When(
    /^98 engines, a quarter of them slow, get (\d+) requests each, (\d+)% with kept parts, with seeds 1 to (\d+)$/,
    (requests: string, kept: string, seeds: string) => {
        wrongShare = averageOverSeeds(Number(seeds), seed => {
            const random = createRandom(seed);
            const engines = createMixedEngines(seed, Number(kept) / 100);
            let atMs = 0;
            for (let request = 0; request < Number(requests); request += 1) {
                for (const engine of engines) {
                    atMs += MS_PER_S / HOSTS / REQUESTS_PER_HOST_S;
                    observeRequest(engine, random, atMs, true);
                }
            }
            return countWrong(engines, atMs) / ENGINES;
        });
    },
);

When(
    /^requests of 70 hosts run at 98 engines for (\d+) s, with seeds 1 to (\d+)$/,
    (seconds: string, seeds: string) => {
        wrongShare = averageOverSeeds(Number(seeds), seed => {
            const random = createRandom(seed);
            const engines = createMixedEngines(seed, 0.4);
            const requests = Number(seconds) * HOSTS * REQUESTS_PER_HOST_S;
            for (let request = 0; request < requests; request += 1) {
                const engine = engines[Math.floor(random.next() * ENGINES)];
                const atMs = request * MS_PER_S / HOSTS / REQUESTS_PER_HOST_S;
                if (engine !== undefined) {
                    observeRequest(engine, random, atMs, true);
                }
            }
            return countWrong(engines, Number(seconds) * MS_PER_S) / ENGINES;
        });
    },
);

Then(/^at most (\d+)% of the engines are taken for one of the other speed$/, (percent: string) => {
    ok(wrongShare * 100 <= Number(percent), String(wrongShare));
});

When(
    /^an engine is 5 times slower from 20 s to 26 s, which its header doesn't state, with seeds 1 to (\d+)$/,
    (seeds: string) => {
        downMs = [];
        upMs = [];
        for (let seed = 1; seed <= Number(seeds); seed += 1) {
            const { down, up } = trackSlowness(seed);
            downMs.push(down);
            upMs.push(up);
        }
    },
);

Then(
    /^in (\d+)% of the runs it is taken for 3 times slower within (\d+) s$/,
    (percent: string, seconds: string) => checkTimes(downMs, Number(percent), Number(seconds)),
);

Then(
    /^in (\d+)% of the runs it is taken for at most 1.5 times slower within (\d+) s after the end$/,
    (percent: string, seconds: string) => checkTimes(upMs, Number(percent), Number(seconds)),
);

When(
    /^an engine is 2.5 times slower in 15% of the time, which its header states, with seeds 1 to (\d+)$/,
    (seeds: string) => {
        const readFactor = (atMs: number): number => Math.floor(atMs / PERIOD_MS) % 7 === 0 ? 2.5 : 1;
        ratios = runAmongTen(Number(seeds), 60, () => createFakeEngine({ readFactor }));
    },
);

When(
    /^an engine is 5 times slower from 20 s to 26 s, which its header states, with seeds 1 to (\d+)$/,
    (seeds: string) => {
        ratios = [];
        for (let seed = 1; seed <= Number(seeds); seed += 1) {
            trackSpeed(seed, factor => factor * 100, (atMs, ratio) => {
                if (atMs >= SLOW_FROM_MS) {
                    ratios.push(ratio);
                }
            });
        }
    },
);

When(
    /^an engine among ten states (.*) for 60 requests, with seeds 1 to (\d+)$/,
    (stated: string, seeds: string) => {
        ratios = runAmongTen(Number(seeds), 60, seed => {
            const random = createRandom(seed + 1000);
            const percent = /^always (\d+)/.exec(stated)?.[1];
            return createFakeEngine({
                statePercent: () => percent === undefined ? random.next() < 0.5 ? 100 : 250 : Number(percent),
            });
        });
    },
);

Then(
    /^in (\d+)% of the runs it is taken for ([\d.]+) to ([\d.]+) times as fast as (?:the others|without)$/,
    (percent: string, from: string, to: string) => {
        const within = ratios.filter(ratio => ratio >= Number(from) && ratio <= Number(to));
        ok(within.length / ratios.length * 100 >= Number(percent), ratios.map(ratio => ratio.toFixed(2)).join(" "));
    },
);

When(
    /^an engine was 5 times slower for (\d+) requests and then gets none for (\d+) s$/,
    (requests: string, seconds: string) => {
        ratios = runAmongTen(1, Number(requests), () => createFakeEngine({ speed: 0.2 }), Number(seconds) * MS_PER_S);
    },
);

Then(/^it is taken for at least ([\d.]+) times as fast as the others$/, (factor: string) => {
    ok(ratios.every(ratio => ratio >= Number(factor)), String(ratios));
});

When("one of five engines answers first bytes at once and events after 30 s", () => {
    const random = createRandom(1);
    const engines = Array.from({ length: 5 }, () => createFakeEngine({}));
    const [faulty, ...sound] = engines;
    let atMs = 0;
    for (let request = 0; request < 40; request += 1) {
        atMs += MS_PER_S / REQUESTS_PER_ENGINE_S;
        sound.forEach(engine => observeRequest(engine, random, atMs, true));
        if (faulty !== undefined) {
            const first = { kind: "first_byte", ms: 0, tokens: 4000 } as const;
            faulty.state = reducePerformance(faulty.state, first, atMs, OWNER_SAMPLES);
            const event = { kind: "event", ms: 30_000, tokens: 0 } as const;
            faulty.state = reducePerformance(faulty.state, event, atMs, OWNER_SAMPLES);
        }
    }
    ratios = sound.map(engine => readSpeed(engine, engines, atMs) / readSpeed(engine, sound, atMs));
});

Then(/^the others are taken for as fast as without it, within (\d+)%$/, (percent: string) => {
    ok(ratios.every(ratio => Math.abs(ratio - 1) * 100 <= Number(percent)), String(ratios));
});

function createMixedEngines(seed: number, keptShare: number): readonly FakeEngine[] {
    return Array.from(
        { length: ENGINES },
        (value, index) =>
            createFakeEngine({
                speed: index % 4 === 0 ? SLOW : FAST,
                pieceTokens: seed % 2 === 0 ? 1024 : 2048,
                keptShare,
            }),
    );
}

function averageOverSeeds(seeds: number, run: (seed: number) => number): number {
    return Array.from({ length: seeds }, (value, index) => run(index + 1)).reduce((sum, share) => sum + share, 0)
        / seeds;
}

function readSpeed(engine: FakeEngine, engines: readonly FakeEngine[], atMs: number): number {
    const medians = computeMedians(engines.map(({ state }) => state.learned));
    return estimatePace(fadeLearned(engine.state, atMs), medians, DEFAULTS).promptTokensPerMs;
}

function countWrong(engines: readonly FakeEngine[], atMs: number): number {
    return engines.filter(engine =>
        readSpeed(engine, engines, atMs) < BETWEEN_TOKENS_PER_MS !== (engine.terms.speed === SLOW)
    ).length;
}

/** Runs one engine of interest and nine usual ones; returns its speed as a factor on theirs, for each seed. */
function runAmongTen(seeds: number, requests: number, create: (seed: number) => FakeEngine, waitMs = 0): number[] {
    return Array.from({ length: seeds }, (value, index) => {
        const random = createRandom(index + 1);
        const others = Array.from({ length: 9 }, () => createFakeEngine({}));
        const engine = create(index + 1);
        const all = [engine, ...others];
        let atMs = 0;
        for (let request = 0; request < requests; request += 1) {
            atMs -= Math.log(1 - random.next()) * MS_PER_S / REQUESTS_PER_ENGINE_S;
            all.forEach(each => observeRequest(each, random, atMs, true));
        }
        const medians = computeMedians(others.map(({ state }) => state.learned));
        return readSpeed(engine, all, atMs + waitMs) * (medians.tokenMs ?? 0);
    });
}

/** Measures how long it takes until a slowness shows, and until its end shows, in milliseconds. */
function trackSlowness(seed: number): { readonly down: number; readonly up: number } {
    let down = Infinity;
    let up = Infinity;
    trackSpeed(seed, () => 100, (atMs, ratio) => {
        if (atMs >= SLOW_FROM_MS && atMs < SLOW_TO_MS && ratio < 1 / 3) {
            down = Math.min(down, atMs - SLOW_FROM_MS);
        }
        if (atMs >= SLOW_TO_MS && ratio > 1 / 1.5) {
            up = Math.min(up, atMs - SLOW_TO_MS);
        }
    });
    return { down, up };
}

/** Runs an engine that is slow for a time among nine usual ones; tells its speed as a factor on theirs. */
function trackSpeed(
    seed: number,
    statePercent: (factor: number) => number,
    onRatio: (atMs: number, ratio: number) => void,
): void {
    const random = createRandom(seed);
    const readFactor = (atMs: number): number => atMs >= SLOW_FROM_MS && atMs < SLOW_TO_MS ? 5 : 1;
    const engine = createFakeEngine({ readFactor, statePercent });
    const others = Array.from({ length: 9 }, () => createFakeEngine({}));
    const all = [engine, ...others];
    let atMs = 0;
    while (atMs < TRACKED_MS) {
        atMs -= Math.log(1 - random.next()) * MS_PER_S / REQUESTS_PER_ENGINE_S;
        all.forEach(each => observeRequest(each, random, atMs, true));
        const medians = computeMedians(others.map(({ state }) => state.learned));
        onRatio(atMs, readSpeed(engine, all, atMs) * (medians.tokenMs ?? 0));
    }
}

function checkTimes(times: readonly number[], percent: number, seconds: number): void {
    const within = times.filter(ms => ms <= seconds * MS_PER_S);
    ok(within.length / times.length * 100 >= percent, times.map(ms => Math.round(ms)).join(" "));
}
