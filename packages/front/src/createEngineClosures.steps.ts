import type { EngineId } from "@fulmarcleat/ids";
import { Given, ok, Then, When } from "@fulmarcleat/testing";
import { createFrontFleet } from "./createFrontFleet.steps.js";
import type { FleetRequest, FrontFleet } from "./frontFleet.steps.js";
import { parseFleetFaults } from "./parseFleetFaults.steps.js";

/** Seeds that each row of the tables is played with. */
const SEEDS = 2;
/** Hosts from which on a row is played with one seed. */
const LARGE_FLEET = 86;
const MS_PER_S = 1000;
/** Time for which requests come before engines leave or pause, in milliseconds. */
const LEAD_MS = 3000;
/** Time until the last requests have ended, in milliseconds; the longest deadline. */
const END_MS = 5000;

/** One fleet, and the engines that leave or pause. */
interface Run {
    readonly fleet: FrontFleet;
    engines: readonly EngineId[];
    fromMs: number;
    /** Clock reading at the end of a pause, in milliseconds. */
    untilMs: number;
}

let runs: Run[] = [];
let isStoreSilent = false;

Given(
    /^a fleet of (\d+) hosts before talkative engines, with (\d+) requests a second, whose (.*)$/,
    async (hosts: string, requestsPerS: string, faults: string) => {
        isStoreSilent = faults === "store falls silent";
        runs = [];
        for (let seed = 1; seed <= (Number(hosts) < LARGE_FLEET ? SEEDS : 1); seed += 1) {
            const fleet = await createFrontFleet({
                hosts: Number(hosts),
                requestsPerS: Number(requestsPerS),
                seed,
                ...parseFleetFaults(faults),
            });
            await fleet.play(LEAD_MS, 0);
            runs.push({ fleet, engines: [], fromMs: Infinity, untilMs: Infinity });
        }
    },
);

When(
    "{int} engines say that they leave, and clients send requests for {int} s",
    async (count: number, seconds: number) => {
        for (const run of runs) {
            begin(run, count);
            run.fleet.setNotice(run.engines, { kind: "leaving" });
            await run.fleet.play(seconds * MS_PER_S, 0);
        }
    },
);

When(
    "{int} engines ask for a pause of {int} ms, and clients send requests for {int} s",
    async (count: number, pauseMs: number, seconds: number) => {
        for (const run of runs) {
            begin(run, count);
            run.untilMs = run.fromMs + pauseMs;
            run.fleet.setNotice(run.engines, { kind: "pausing", untilMs: run.untilMs });
            await run.fleet.play(pauseMs, 0);
            run.fleet.setNotice(run.engines, undefined);
            await run.fleet.play(seconds * MS_PER_S - pauseMs, 0);
            await run.fleet.wait(END_MS);
        }
    },
);

When(
    "all engines start again under their ids and say nothing, and clients send requests for {int} s",
    async (seconds: number) => {
        for (const { fleet, engines } of runs) {
            fleet.store.setMode("serving");
            fleet.setNotice(engines, undefined);
            fleet.crashAll();
            await fleet.play(seconds * MS_PER_S, 0);
        }
    },
);

Then(
    "no request that a client sent over {int} ms after a host had passed that on reaches such an engine from there",
    (graceMs: number) => {
        for (const { fleet: { arrivals, words } } of runs) {
            const toldMs = new Map<string, number>();
            words.forEach(({ host, engine, atMs }) => {
                const key = `${host} ${engine}`;
                toldMs.set(key, Math.min(atMs, toldMs.get(key) ?? Infinity));
            });
            ok(toldMs.size > 0);
            const late = arrivals.filter(({ host, engine, sentMs }) =>
                sentMs > (toldMs.get(`${host} ${engine}`) ?? Infinity) + graceMs
            );
            ok(late.length === 0, `${late.length} requests, the first ${JSON.stringify(late[0])}`);
        }
    },
);

Then("at least {int} in 100 of the requests are served", (percent: number) => {
    for (const { fleet, fromMs } of runs) {
        const sent = fleet.requests.filter(({ sentMs, heldMs }) => sentMs >= fromMs && heldMs !== undefined);
        const served = sent.filter(({ isAnswered }) => isAnswered);
        ok(served.length * 100 >= sent.length * percent, `${served.length} of ${sent.length}`);
    }
});

Then("requests are refused as {string} within {int} ms", (reason: string, withinMs: number) => {
    for (const run of runs) {
        const refused = listRefused(run, reason);
        ok(refused.length > 0);
        refused.forEach(({ heldMs = Infinity }) => ok(heldMs <= withinMs, `refused after ${heldMs} ms`));
    }
});

Then(
    "each engine that had said so gets at least {int} in 100 of an equal share in the last {int} s",
    (percent: number, seconds: number) =>
        runs.forEach(run => checkShares(run, percent, run.fleet.clock.nowMs() - seconds * MS_PER_S)),
);

Then(
    "after the pause each of these engines gets at least {int} in 100 of an equal share in the last {int} s",
    (percent: number, seconds: number) =>
        runs.forEach(run => checkShares(run, percent, run.fleet.clock.nowMs() - END_MS - seconds * MS_PER_S)),
);

Then(
    "from {int} ms after such an answer to its end at most {int} requests reach the engine from that host",
    (graceMs: number, most: number) => {
        for (const { fleet: { arrivals, words } } of runs) {
            ok(words.length > 0);
            for (const { host, engine, atMs, notice } of words) {
                const endMs = notice.kind === "pausing" ? notice.untilMs : -Infinity;
                const late = arrivals.filter(arrival =>
                    arrival.host === host && arrival.engine === engine && arrival.atMs > atMs + graceMs
                    && arrival.atMs < endMs
                );
                ok(late.length <= most, `${late.length} requests reached ${engine} from ${host}`);
            }
        }
    },
);

Then(
    "those refused as {string} are told to return after the pause has ended and within {int} ms of its end",
    (reason: string, withinMs: number) => {
        for (const run of runs) {
            const afterMs = listRefused(run, reason).filter(({ sentMs }) => sentMs < run.untilMs)
                .map(request => readReturnMs(request) - run.untilMs);
            ok(afterMs.length > 0);
            ok(Math.min(...afterMs) >= 0, `${Math.min(...afterMs)} ms`);
            ok(Math.max(...afterMs) <= withinMs, `${Math.max(...afterMs)} ms`);
        }
    },
);

Then(
    "those of priority {int} are told to return sooner after its end than those of priority {int}",
    (urgent: number, other: number) => {
        for (const run of runs) {
            const [urgentMs = NaN, otherMs = NaN] = [urgent, other].map(priority => {
                const returnsMs = listRefused(run, "paused")
                    .filter(request => request.priority === priority && request.sentMs < run.untilMs)
                    .map(readReturnMs);
                return returnsMs.reduce((sum, atMs) => sum + atMs, 0) / returnsMs.length;
            });
            ok(urgentMs < otherMs, `${urgentMs} and ${otherMs}`);
        }
    },
);

function begin(run: Run, count: number): void {
    const { fleet } = run;
    run.engines = fleet.engineIds.slice(0, count);
    run.fromMs = fleet.clock.nowMs();
    if (isStoreSilent) {
        fleet.store.setMode("silent");
    }
}

function listRefused({ fleet, fromMs }: Run, reason: string): readonly FleetRequest[] {
    return fleet.requests.filter(({ refusal, sentMs }) => refusal === reason && sentMs >= fromMs);
}

/** Returns the clock reading at which a refused client is told to return, in milliseconds. */
function readReturnMs({ sentMs, heldMs, readyInMs }: FleetRequest): number {
    return sentMs + (heldMs ?? NaN) + (readyInMs ?? NaN);
}

function checkShares({ fleet, engines }: Run, percent: number, fromMs: number): void {
    const counts = new Map(fleet.engineIds.map(engine => [engine, 0]));
    fleet.arrivals.filter(({ atMs }) => atMs > fromMs)
        .forEach(({ engine }) => counts.set(engine, (counts.get(engine) ?? 0) + 1));
    const share = [...counts.values()].reduce((sum, count) => sum + count, 0) / counts.size;
    for (const engine of engines) {
        const count = counts.get(engine) ?? 0;
        ok(count * 100 >= share * percent, `${engine} got ${count} requests, an equal share is ${share}`);
    }
}
