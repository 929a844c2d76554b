import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createFrontFleet } from "./createFrontFleet.steps.js";
import type { FleetRequest, FrontFleet, FrontFleetOptions } from "./frontFleet.steps.js";
import { parseFleetFaults } from "./parseFleetFaults.steps.js";

/** Seeds that each row of the table is played with. */
const SEEDS = 3;

let fleets: FrontFleet[] = [];
let isStoreSilent = false;
const crashesBefore = new Map<FrontFleet, number>();

Given(
    /^a fleet of (\d+) hosts whose (.*)$/,
    (hosts: string, faults: string) => startFleets({ hosts: Number(hosts) }, faults),
);

async function startFleets(size: Pick<FrontFleetOptions, "copies" | "hosts" | "plain">, faults: string): Promise<void> {
    isStoreSilent = faults === "store falls silent";
    fleets = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        fleets.push(await createFrontFleet({ ...size, seed, ...parseFleetFaults(faults) }));
    }
}

Given(
    /^a fleet of (\d+) hosts before a plain service, (\d+) of whose requests crash engines, (\d+) at a time, and whose (.*)$/,
    async (hosts: string, poisonKinds: string, copies: string, faults: string) => {
        const plain = { poisonKinds: Number(poisonKinds) };
        await startFleets({ hosts: Number(hosts), plain, copies: Number(copies) }, faults);
    },
);

Given(
    /^a fleet of (\d+) hosts that get requests that crash engines (\d+) at a time, and whose (.*)$/,
    (hosts: string, copies: string, faults: string) =>
        startFleets({ hosts: Number(hosts), copies: Number(copies) }, faults),
);

When(
    "clients send requests for {int} s, and for {int} s more with {int} in 100 that crash engines",
    async (soundS: number, poisonS: number, percent: number) => {
        for (const fleet of fleets) {
            await fleet.play(soundS * 1000, 0);
            if (isStoreSilent) {
                fleet.store.setMode("silent");
            }
            await fleet.play(poisonS * 1000, percent / 100);
        }
    },
);

Then(
    "at most {int} of these reach engines later than {int} ms after the fifth crash",
    (most: number, afterMs: number) => {
        for (const { requests, poisonCrashesMs } of fleets) {
            const fromMs = (poisonCrashesMs[4] ?? Infinity) + afterMs;
            const late = requests.filter(({ isPoison }) => isPoison).flatMap(({ reachedMs }) => reachedMs)
                .filter(atMs => atMs > fromMs);
            ok(late.length <= most, `${late.length} reach engines later, ${poisonCrashesMs.length} crashes in all`);
        }
    },
);

Then(
    "from {int} ms after the fifth crash on sound requests begin at least half as often as before",
    (afterMs: number) => {
        for (const { requests, poisonCrashesMs } of fleets) {
            const firstMs = poisonCrashesMs[0] ?? Infinity;
            const fromMs = (poisonCrashesMs[4] ?? poisonCrashesMs.at(-1) ?? Infinity) + afterMs;
            const sound = requests.filter(({ isPoison }) => !isPoison);
            const before = countBegunShare(sound.filter(({ sentMs }) => sentMs < firstMs));
            const after = countBegunShare(sound.filter(({ sentMs }) => sentMs > fromMs));
            ok(after >= before / 2, `${before.toFixed(2)} began before, ${after.toFixed(2)} after`);
        }
    },
);

Then(
    "at most {int} of each of these reach engines later than {int} ms after its third crash",
    (most: number, afterMs: number) => {
        for (const { requests, poisonCrashes } of fleets) {
            for (const name of new Set(poisonCrashes.map(crash => crash.name))) {
                const crashesMs = poisonCrashes.filter(crash => crash.name === name).map(({ atMs }) => atMs);
                const fromMs = (crashesMs[2] ?? Infinity) + afterMs;
                const late = requests.filter(request => request.name === name).flatMap(({ reachedMs }) => reachedMs)
                    .filter(atMs => atMs > fromMs);
                ok(late.length <= most, `${name}: ${late.length} reach engines later, ${crashesMs.length} crashes`);
            }
        }
    },
);

Then("no sound request is refused as one that crashes engines", () => {
    for (const { requests } of fleets) {
        const refused = requests.filter(({ isPoison, refusal }) => !isPoison && refusal?.startsWith("quarantined"));
        deepStrictEqual(refused, []);
    }
});

Then("no sound request is refused for its prompt", () => {
    fleets.forEach(({ requests }) => strictEqual(countRefused(requests.filter(({ isPoison }) => !isPoison)), 0));
});

When("all engines lose power {int} times while clients send sound requests for {int} s", async (times, seconds) => {
    for (const fleet of fleets) {
        for (let time = 0; time < times; time += 1) {
            await fleet.play(seconds * 1000 / times, 0);
            fleet.crashAll();
        }
    }
});

Then("no request is refused for its prompt", () => {
    fleets.forEach(({ requests }) => strictEqual(countRefused(requests), 0));
});

When(
    "another host joins, and clients send requests for {int} s with {int} in 100 that crash engines",
    async (seconds, percent) => {
        for (const fleet of fleets) {
            await fleet.addHost();
            await fleet.play(seconds * 1000, percent / 100);
        }
    },
);

When("{int} s pass, and these requests crash engines {word}", async (seconds: number, word: "still" | "no-more") => {
    for (const fleet of fleets) {
        fleet.setPoisonous(word === "still");
        await fleet.wait(seconds * 1000);
        crashesBefore.set(fleet, fleet.poisonCrashesMs.length);
    }
});

When("clients send requests for {int} s more with {int} in 100 of that kind", async (seconds, percent) => {
    for (const fleet of fleets) {
        await fleet.play(seconds * 1000, percent / 100);
    }
});

Then(
    "they crash {int} engine(s) more, and the last of them is {word}",
    (crashes: number, end: "refused" | "answered") => {
        for (const fleet of fleets) {
            const { requests, poisonCrashesMs } = fleet;
            strictEqual(poisonCrashesMs.length - (crashesBefore.get(fleet) ?? 0), crashes);
            const last = requests.filter(({ isPoison }) => isPoison).at(-1);
            strictEqual(last?.refusal === undefined ? "answered" : "refused", end);
        }
    },
);

When(
    "clients send requests for {int} s with {int} in 100 of a kind that crashes no engine yet",
    async (seconds: number, percent: number) => {
        for (const fleet of fleets) {
            fleet.setPoisonous(false);
            await fleet.play(seconds * 1000, percent / 100);
            fleet.setPoisonous(true);
        }
    },
);

Then("none of these reaches an engine in the last {int} s", (seconds: number) => {
    for (const { clock, requests } of fleets) {
        const fromMs = clock.nowMs() - seconds * 1000;
        const reachedMs = requests.filter(({ isPoison }) => isPoison).flatMap(request => request.reachedMs);
        deepStrictEqual(reachedMs.filter(atMs => atMs >= fromMs), []);
    }
});

function countRefused(requests: readonly FleetRequest[]): number {
    return requests.filter(({ refusal }) => refusal === "quarantined_prompt").length;
}

function countBegunShare(requests: readonly FleetRequest[]): number {
    return requests.filter(({ hasBegun }) => hasBegun).length / requests.length;
}
