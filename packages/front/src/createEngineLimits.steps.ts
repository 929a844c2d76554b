import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineId } from "@fulmarcleat/ids";
import { Given, ok, Then, When } from "@fulmarcleat/testing";
import { createFrontFleet } from "./createFrontFleet.steps.js";
import type { FrontFleet } from "./frontFleet.steps.js";
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
    "{int} engine(s) name(s) a limit of {float} requests a second, and clients send requests for {int} s",
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

Then("from {int} ms on they get at least {int} in 100 of it", (fromMs: number, percent: number) => {
    for (const { fleet, namedMs, limited, perSecond } of runs) {
        const lengthMs = fleet.clock.nowMs() - namedMs - fromMs;
        const expected = perSecond * lengthMs / MS_PER_S;
        for (const engine of fleet.engineIds.slice(0, limited)) {
            const count = countArrivals(fleet, engine, namedMs + fromMs);
            ok(count * 100 >= expected * percent, `${engine} got ${count} requests of ${expected}`);
        }
    }
});

When(
    "the {int} first host(s) that grant for each of these engines stop, and clients send requests for {int} s",
    async (count: number, seconds: number) => {
        const hash = await createHasher();
        for (const { fleet, limited } of runs) {
            const { hosts } = fleet;
            fleet.engineIds.slice(0, limited).flatMap(engine => rankByRendezvous(hash, engine, hosts).slice(0, count))
                .forEach(host => fleet.stopHost(host));
            await fleet.play(seconds * MS_PER_S, 0);
        }
    },
);

When("no engine names a limit any more, and clients send requests for {int} s", async (seconds: number) => {
    for (const { fleet } of runs) {
        fleet.setLimit(undefined);
        await fleet.play(seconds * MS_PER_S, 0);
    }
});

When(
    "all engines start again under their ids and name no limit, and clients send requests for {int} s",
    async (seconds: number) => {
        for (const { fleet } of runs) {
            fleet.setLimit(undefined);
            fleet.store.setMode("serving");
            fleet.crashAll();
            await fleet.play(seconds * MS_PER_S, 0);
        }
    },
);

Then(
    "the engine gets at least {int} in 100 of an equal share of the requests in the last {int} s",
    (percent: number, seconds: number) => {
        for (const { fleet } of runs) {
            const fromMs = fleet.clock.nowMs() - seconds * MS_PER_S;
            const counts = fleet.engineIds.map(engine => countArrivals(fleet, engine, fromMs));
            const share = counts.reduce((sum, count) => sum + count, 0) / counts.length;
            ok((counts[0] ?? 0) * 100 >= share * percent, `${counts[0]} requests, an equal share is ${share}`);
        }
    },
);

Then(
    "requests are refused as limited within {int} ms, and are told to return after {int} to {int} ms",
    (withinMs: number, leastMs: number, mostMs: number) => {
        for (const { fleet } of runs) {
            const refused = fleet.requests.filter(({ refusal }) => refusal === "limited");
            ok(refused.length > 0);
            for (const { heldMs = Infinity, readyInMs = Infinity } of refused) {
                ok(heldMs <= withinMs, `refused after ${heldMs} ms`);
                ok(readyInMs >= leastMs && readyInMs <= mostMs, `told to return after ${readyInMs} ms`);
            }
        }
    },
);

Then(
    "a request of priority {int} is served at least {float} times as often as one of priority {int}",
    (urgent: number, factor: number, other: number) => {
        for (const { fleet, namedMs } of runs) {
            const [urgentShare, otherShare] = [urgent, other].map(priority => {
                const sent = fleet.requests.filter(({ priority: own, sentMs }) => own === priority && sentMs > namedMs);
                return sent.filter(({ hasBegun }) => hasBegun).length / sent.length;
            });
            ok((urgentShare ?? 0) >= (otherShare ?? 0) * factor, `${urgentShare} and ${otherShare}`);
        }
    },
);

function countArrivals({ arrivals }: FrontFleet, engine: EngineId, fromMs: number): number {
    return arrivals.filter(arrival => arrival.engine === engine && arrival.atMs > fromMs).length;
}

/** Returns the largest number of times within a window that ends at or after `fromMs`. */
function countMostIn(times: readonly number[], windowMs: number, fromMs: number): number {
    const ends = [fromMs, ...times.filter(atMs => atMs > fromMs)];
    return Math.max(...ends.map(endMs => times.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length));
}
