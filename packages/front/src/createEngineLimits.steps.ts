import { Given, ok, Then, When } from "@fulmarcleat/testing";
import { createFrontFleet } from "./createFrontFleet.steps.js";
import type { FrontFleet } from "./createFrontFleet.steps.js";
import { parseFleetFaults } from "./parseFleetFaults.steps.js";

/** Seeds that each row of the table is played with. */
const SEEDS = 2;
const MS_PER_S = 1000;
/** Time for which requests come before engines name limits, in milliseconds. */
const LEAD_MS = 5000;

/** One fleet and when its engines named a limit. */
interface Run {
    readonly fleet: FrontFleet;
    namedMs: number;
    limited: number;
    perSecond: number;
}

let runs: Run[] = [];
let isStoreSilent = false;

Given(
    /^a fleet of (\d+) hosts that get (\d+) requests a second, whose (.*)$/,
    async (hosts: string, requestsPerS: string, faults: string) => {
        isStoreSilent = faults === "store falls silent";
        runs = [];
        for (let seed = 1; seed <= SEEDS; seed += 1) {
            const fleet = await createFrontFleet({
                hosts: Number(hosts),
                requestsPerS: Number(requestsPerS),
                seed,
                ...parseFleetFaults(faults),
            });
            runs.push({ fleet, namedMs: Infinity, limited: 0, perSecond: Infinity });
        }
    },
);

When(
    "{int} engine(s) name a limit of {float} requests a second, and clients send requests for {int} s",
    async (engines: number, perSecond: number, seconds: number) => {
        for (const run of runs) {
            await run.fleet.play(LEAD_MS, 0);
            if (isStoreSilent) {
                run.fleet.store.setMode("silent");
            }
            run.fleet.setLimit({ engines, perSecond });
            run.namedMs = run.fleet.clock.nowMs();
            run.limited = engines;
            run.perSecond = perSecond;
            await run.fleet.play(seconds * MS_PER_S, 0);
        }
    },
);

Then(
    "from {int} ms on none of these engines gets more than {float} times that and {int} requests in any {int} s",
    (fromMs: number, factor: number, extra: number, seconds: number) => {
        for (const { fleet, namedMs, limited, perSecond } of runs) {
            const allowed = factor * perSecond * seconds + extra;
            for (const engine of fleet.engineIds.slice(0, limited)) {
                const times = fleet.arrivals.filter(arrival => arrival.engine === engine).map(({ atMs }) => atMs);
                const most = countMostIn(times, seconds * MS_PER_S, namedMs + fromMs);
                ok(most <= allowed, `${engine} got ${most} requests, allowed ${allowed}`);
            }
        }
    },
);

/** Returns the largest number of times within a window that ends at or after `fromMs`. */
function countMostIn(times: readonly number[], windowMs: number, fromMs: number): number {
    const ends = [fromMs, ...times.filter(atMs => atMs > fromMs)];
    return Math.max(...ends.map(endMs => times.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length));
}
