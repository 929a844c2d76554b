import type { Service } from "@fulmarcleat/directory";
import type { HostId } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { MODEL_SERVICE, PLAIN_SERVICE, readDeadlineMs } from "./createFleetRequest.steps.js";
import { createFrontFleet } from "./createFrontFleet.steps.js";
import type { CutKind, FleetRequest, FrontFleet } from "./frontFleet.steps.js";
import { parseFleetFaults } from "./parseFleetFaults.steps.js";

/** Seeds that each row of the tables is played with. */
const SEEDS = 2;
/** Hosts from which on a row is played with one seed. */
const LARGE_FLEET = 86;
/** Requests a second over all hosts. */
const REQUESTS_PER_S = 90;
const DOMAINS = 3;
const MS_PER_S = 1000;
/** Time for which requests come before paths are cut, in milliseconds. */
const LEAD_MS = 3000;
/** Time for which requests come after paths were healed, in milliseconds. */
const AFTER_MS = 6000;
/** Time until the last requests have ended, in milliseconds; the longest deadline and more. */
const END_MS = 6000;
/** Length of a phase in which paths are cut again and again, in milliseconds. */
const FLAPPING_MS = 12_000;
/** Failed first tries that are always allowed at the cut hosts. */
const ALLOWED_FAILURES = 10;
/** Share of all first tries that may fail besides. */
const ALLOWED_SHARE = 1 / 50;
/** How often first tries are served at the cut hosts, compared with the others. */
const LEAST_RATIO = 2 / 3;

/** One fleet, what its hosts lost, and when. */
interface Run {
    readonly fleet: FrontFleet;
    hosts: readonly HostId[];
    services: readonly Service[];
    fromMs: number;
    toMs: number;
}

let runs: Run[] = [];

Given(
    /^a fleet of (\d+) hosts before two services(?: with (\d+) requests a second)?, whose (.*)$/,
    async (hosts: string, requestsPerS: string | null, faults: string) => {
        runs = [];
        for (let seed = 1; seed <= (Number(hosts) < LARGE_FLEET ? SEEDS : 1); seed += 1) {
            const fleet = await createFrontFleet({
                hosts: Number(hosts),
                requestsPerS: Number(requestsPerS ?? REQUESTS_PER_S),
                hasTwoServices: true,
                domains: DOMAINS,
                seed,
                ...parseFleetFaults(faults),
            });
            await fleet.play(LEAD_MS, 0);
            runs.push({ fleet, hosts: [], services: [], fromMs: Infinity, toMs: Infinity });
        }
    },
);

When(
    /^the paths of (.*) to (.*) are cut, (hang|reset|new refused), for (\d+) s(?: of every (\d+) s)?, while clients send requests$/,
    async (who: string, services: string, how: CutKind, seconds: string, everySeconds?: string) => {
        const cutMs = Number(seconds) * MS_PER_S;
        const everyMs = Number(everySeconds ?? seconds) * MS_PER_S;
        const lengthMs = everyMs === cutMs ? cutMs : FLAPPING_MS;
        for (const run of runs) {
            const { fleet } = run;
            run.hosts = selectHosts(fleet, who);
            run.services = selectServices(services);
            run.fromMs = fleet.clock.nowMs();
            const service = run.services.length === 1 ? run.services[0]?.name : undefined;
            for (let passedMs = 0; passedMs < lengthMs; passedMs += everyMs) {
                fleet.cutHosts({ hosts: run.hosts, how, service });
                await fleet.play(cutMs, 0);
                run.toMs = fleet.clock.nowMs();
                fleet.healHosts();
                await fleet.play(everyMs - cutMs, 0);
            }
            await fleet.play(run.toMs + AFTER_MS - fleet.clock.nowMs(), 0);
            await fleet.wait(END_MS);
        }
    },
);

Then(
    "from {int} ms on until the end, first tries there are served two thirds as often as elsewhere, or 10 and 1 in 50 fail",
    (afterMs: number) => {
        for (const run of runs) {
            const tries = listRequests(run, run.fromMs + afterMs, run.toMs);
            const there = tries.filter(request => isThere(run, request));
            const elsewhere = tries.filter(request => !isThere(run, request));
            const served = countAnswered(there);
            const ratio = (served / there.length) / (countAnswered(elsewhere) / elsewhere.length);
            ok(
                ratio >= LEAST_RATIO || there.length - served <= ALLOWED_FAILURES + tries.length * ALLOWED_SHARE,
                `${served} of ${there.length} served there, ${
                    countAnswered(elsewhere)
                } of ${elsewhere.length} elsewhere: `
                    + describeFailures(there),
            );
        }
    },
);

Then(
    "from {int} ms on until the end, at least {int} in 10 first tries there are served",
    (afterMs: number, tenths: number) => {
        for (const run of runs) {
            const there = listRequests(run, run.fromMs + afterMs, run.toMs).filter(request => isThere(run, request));
            const served = countAnswered(there);
            ok(there.length > 0);
            ok(served * 10 >= there.length * tenths, `${served} of ${there.length} served: ${describeFailures(there)}`);
        }
    },
);

Then("no request that may run once reaches engines twice", () => {
    for (const { fleet } of runs) {
        const unsafe = fleet.requests.filter(({ kind }) => kind === "unsafe");
        ok(unsafe.length > 0);
        deepStrictEqual(unsafe.filter(({ reachedMs }) => reachedMs.length > 1), []);
    }
});

Then("no host hands on a request that another host handed to it", () => {
    for (const { fleet: { handovers } } of runs) {
        const passedOn = handovers.filter(({ from, requestId, atMs }) =>
            handovers.some(other => other.requestId === requestId && other.to === from && other.atMs <= atMs)
        );
        deepStrictEqual(passedOn, []);
    }
});

Then(
    "from {int} ms after the end on these hosts send at least {int} in 10 of their requests to engines themselves",
    (afterMs: number, tenths: number) => {
        for (const run of runs) {
            const there = listRequests(run, run.toMs + afterMs, run.toMs + AFTER_MS)
                .filter(request => isThere(run, request));
            const direct = there.filter(({ host, sentBy }) => host !== undefined && sentBy.includes(host));
            ok(there.length > 0);
            ok(direct.length * 10 >= there.length * tenths, `${direct.length} of ${there.length} requests`);
        }
    },
);

When(
    /^(the .* engines) (stop|fall silent) for all hosts for (\d+) s while clients send requests$/,
    async (services: string, failure: "fall silent" | "stop", seconds: string) => {
        for (const run of runs) {
            const { fleet } = run;
            run.hosts = fleet.hosts;
            run.services = selectServices(services);
            run.fromMs = fleet.clock.nowMs();
            for (const { name } of run.services) {
                if (failure === "stop") {
                    fleet.stopEngines(name);
                }
                else {
                    fleet.cutHosts({ hosts: run.hosts, how: "hang", service: name });
                }
            }
            await fleet.play(Number(seconds) * MS_PER_S, 0);
            run.toMs = fleet.clock.nowMs();
            await fleet.wait(END_MS);
        }
    },
);

Then(
    "their requests that come from {int} ms on are refused within {int} ms",
    (afterMs: number, withinMs: number) => {
        for (const run of runs) {
            const requests = listRequests(run, run.fromMs + afterMs, run.toMs);
            ok(requests.length > 0 && countAnswered(requests) === 0);
            const held = requests.filter(({ heldMs = Infinity }) => heldMs > withinMs);
            const longestMs = Math.max(...requests.map(({ heldMs = Infinity }) => heldMs));
            ok(held.length === 0, `${held.length} of ${requests.length} were held longer, up to ${longestMs} ms`);
        }
    },
);

Then("their requests are held {int} ms past their deadlines at most", (graceMs: number) => {
    for (const run of runs) {
        const requests = listRequests(run, run.fromMs, run.toMs);
        const held = requests.filter(({ kind, heldMs = Infinity }) => heldMs > readDeadlineMs(kind) + graceMs);
        ok(requests.length > 0 && held.length === 0, `${held.length} of ${requests.length} were held longer`);
    }
});

Then("from {int} ms on no host hands such a request to another", (afterMs: number) => {
    for (const { fleet, services, fromMs } of runs) {
        const late = fleet.handovers.filter(({ service, atMs }) =>
            atMs > fromMs + afterMs && services.some(({ name }) => name === service)
        );
        deepStrictEqual(late, []);
    }
});

Then("all requests for the others are answered", () => {
    for (const { fleet, services } of runs) {
        const others = fleet.requests.filter(({ service }) => !services.includes(service));
        ok(others.length > 0);
        ok(others.length === countAnswered(others), describeFailures(others));
    }
});

function selectHosts({ hosts, readDomain }: FrontFleet, who: string): readonly HostId[] {
    switch (who) {
        case "half of the hosts":
            return hosts.slice(0, hosts.length / 2);
        case "one failure domain":
            return hosts.filter(host => readDomain(host) === "a");
        case "all hosts but one":
            return hosts.slice(1);
        case "one host":
            return hosts.slice(0, 1);
        default:
            throw new Error(`unknown hosts "${who}"`);
    }
}

function selectServices(text: string): readonly Service[] {
    switch (text) {
        case "all engines":
            return [MODEL_SERVICE, PLAIN_SERVICE];
        case "the model engines":
            return [MODEL_SERVICE];
        case "the plain engines":
            return [PLAIN_SERVICE];
        default:
            throw new Error(`unknown engines "${text}"`);
    }
}

/** Lists the requests for the lost services that came within a time. */
function listRequests({ fleet, services }: Run, fromMs: number, toMs: number): readonly FleetRequest[] {
    return fleet.requests.filter(({ sentMs, service }) =>
        sentMs >= fromMs && sentMs < toMs && services.includes(service)
    );
}

function isThere({ hosts }: Run, { host }: FleetRequest): boolean {
    return host !== undefined && hosts.includes(host);
}

function countAnswered(requests: readonly FleetRequest[]): number {
    return requests.filter(({ isAnswered }) => isAnswered).length;
}

/** Counts the requests that were not served by their kinds and reasons. */
function describeFailures(requests: readonly FleetRequest[]): string {
    const counts = new Map<string, number>();
    for (const { kind, refusal, isAnswered } of requests) {
        const key = `${kind} ${refusal ?? "held"}`;
        if (!isAnswered) {
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return [...counts].map(([key, count]) => `${count} ${key}`).join(", ");
}
