import type { RateLimit } from "@fulmarcleat/directory";
import { brandId, createRandom } from "@fulmarcleat/ids";
import type { AccountName, HostId, Random } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, setDefaultTimeout, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createAccountFleet } from "./createAccountFleet.steps.js";
import type { AccountFleet, Decision } from "./createAccountFleet.steps.js";

/** Seeds that each row of the tables is played with. */
const SEEDS = 3;
/** Part of the limit that usual demand takes. */
const USUAL_PART = 1 / 1.8;
const MS_PER_S = 1000;
const WINDOW_S = 8;
const EXCESS = 1.1;
const SLACK = 110_000;
const LARGEST = 51_000;
/** Median and spread of a request's tokens (log-normal), cut at the largest; the mean is about 3,300. */
const SIZE = { median: 1800, sigma: 1.1 } as const;
const SIZE_MEAN = 3300;
/** Time after the start of a stretch at which its fault begins, in milliseconds. */
const FAULT_AFTER_MS = 4000;
/** Time after the start of the fleet in which buckets fill up, in milliseconds. */
const START_MS = 10_000;
/** Time after which the store no longer lists a dead host, in milliseconds. */
const LEASE_MS = 6000;

const FIRST = brandId<AccountName>("account-1");
const SECOND = brandId<AccountName>("account-2");

interface Run {
    readonly fleet: AccountFleet;
    readonly random: Random;
    sinceMs: number;
}

let runs: Run[] = [];
let limit: RateLimit;

setDefaultTimeout(120_000);

async function start(hosts: number, names: readonly AccountName[], next: RateLimit | undefined): Promise<void> {
    runs = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        const fleet = await createAccountFleet(hosts, seed);
        fleet.setAccounts(names.map(name => ({ name, limit: next as RateLimit })));
        runs.push({ fleet, random: createRandom(seed + 100), sinceMs: fleet.clock.nowMs() });
    }
}

function drawSize(random: Random): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return Math.min(LARGEST, Math.ceil(SIZE.median * Math.exp(SIZE.sigma * normal)));
}

function pickHost({ fleet, random }: Run, spread: string, account: AccountName): HostId {
    const { hosts, clock } = fleet;
    const pick = (from: number, count: number): HostId =>
        hosts[(from + Math.floor(random.next() * count)) % hosts.length] ?? brandId("");
    switch (spread) {
        case "on all hosts":
            return pick(0, hosts.length);
        case "on two hosts":
            return pick(3, 2);
        case "on granters":
            return fleet.rank(account)[Math.floor(random.next() * 2)] ?? brandId("");
        case "moving":
            return pick(Math.floor(clock.nowMs() / 2000) * 5, 5);
        case "skewed":
            return random.next() < 0.8 ? pick(0, Math.ceil(hosts.length / 10)) : pick(0, hosts.length);
        default:
            throw new Error(`no spread ${spread}`);
    }
}

async function beginFault({ fleet }: Run, fault: string): Promise<(() => Promise<void>) | undefined> {
    const [granter = brandId<HostId>(""), substitute = brandId<HostId>(""), , other = brandId<HostId>("")] = fleet
        .rank(FIRST);
    const lost = /^messages are lost, (\d+) in 100$/.exec(fault)?.[1];
    const late = /^messages are late by up to (\d+) ms$/.exec(fault)?.[1];
    if (lost !== undefined || late !== undefined) {
        fleet.setLoss(Number(lost ?? 0) / 100, Number(late ?? 0));
        return undefined;
    }
    switch (fault) {
        case "nothing fails":
            return undefined;
        case "the granter is killed":
            fleet.kill(granter);
            return () => Promise.resolve(fleet.unlist(granter));
        case "the substitute is killed":
            fleet.kill(substitute);
            return () => Promise.resolve(fleet.unlist(substitute));
        case "the granter freezes for 3 s":
            fleet.freeze(granter);
            return () => Promise.resolve(fleet.thaw(granter));
        case "the granter hears nothing for 5 s":
            fleet.cut(granter, "in");
            return () => Promise.resolve(fleet.cut(granter, "none"));
        case "the granter is not heard for 5 s":
            fleet.cut(granter, "out");
            return () => Promise.resolve(fleet.cut(granter, "none"));
        case "another host is not heard for 5 s":
            fleet.cut(other, "out");
            return () => Promise.resolve(fleet.cut(other, "none"));
        case "all hosts start again":
            fleet.hosts.forEach(host => fleet.restart(host));
            return undefined;
        case "hosts are added": {
            // A host that comes back ranks for the accounts that it ranked for before.
            fleet.unlist(granter);
            return () => Promise.resolve(fleet.list(granter));
        }
        default:
            throw new Error(`no fault ${fault}`);
    }
}

function readFaultMs(fault: string): number {
    const seconds = / for (\d+) s$/.exec(fault)?.[1];
    return seconds === undefined ? LEASE_MS : Number(seconds) * MS_PER_S;
}

/** Sends requests as a Poisson process and injects a fault in the middle. */
async function play(
    run: Run,
    demands: readonly { readonly account: AccountName; readonly factor: number }[],
    seconds: number,
    spread: string,
    fault?: string,
): Promise<void> {
    const { fleet, random } = run;
    const startedMs = fleet.clock.nowMs();
    const endMs = startedMs + seconds * MS_PER_S;
    const faultAtMs = startedMs + FAULT_AFTER_MS + random.next() * MS_PER_S;
    let endFault: (() => Promise<void>) | undefined;
    let hasBegun = fault === undefined;
    let isOver = false;
    const next = demands.map(({ account, factor }) => {
        const perMs = limit.perSecond * USUAL_PART * factor / SIZE_MEAN / MS_PER_S;
        return { account, perMs, atMs: startedMs };
    });
    const draw = (perMs: number): number => -Math.log(1 - random.next()) / perMs;
    next.forEach(arrival => void (arrival.atMs += draw(arrival.perMs)));
    while (fleet.clock.nowMs() < endMs) {
        const nowMs = fleet.clock.nowMs();
        if (!hasBegun && nowMs >= faultAtMs) {
            hasBegun = true;
            endFault = await beginFault(run, fault ?? "");
        }
        if (!isOver && hasBegun && nowMs >= faultAtMs + readFaultMs(fault ?? "")) {
            isOver = true;
            await endFault?.();
        }
        for (const arrival of next) {
            while (arrival.atMs <= nowMs) {
                arrival.atMs += draw(arrival.perMs);
                fleet.request(pickHost(run, spread, arrival.account), arrival.account, drawSize(random));
            }
        }
        await fleet.advance(1);
    }
}

Given(
    "{int} hosts and an account of {int} tokens a second with a burst of {int}",
    async (hosts: number, perSecond: number, burst: number) => {
        limit = { unit: "tokens", perSecond, burst, requestTokens: 900 };
        await start(hosts, [FIRST], limit);
    },
);

Given(
    "{int} hosts and two accounts of {int} tokens a second with a burst of {int}",
    async (hosts: number, perSecond: number, burst: number) => {
        limit = { unit: "tokens", perSecond, burst, requestTokens: 900 };
        await start(hosts, [FIRST, SECOND], limit);
    },
);

Given(
    "{int} hosts and an account of {int} requests a second with a burst of {int}",
    async (hosts: number, perSecond: number, burst: number) => {
        limit = { unit: "requests", perSecond, burst, requestTokens: 0 };
        await start(hosts, [FIRST], limit);
    },
);

Given("{int} hosts and an account without a limit", (hosts: number) => start(hosts, [FIRST], undefined));

When(
    /^it sends ([\d.]+) times its usual demand for (\d+) s, (on all hosts|on two hosts|on granters|moving|skewed)$/,
    async (factor: string, seconds: string, spread: string) => {
        for (const run of runs) {
            await play(run, [{ account: FIRST, factor: Number(factor) }], Number(seconds), spread);
        }
    },
);

When(
    /^it sends ([\d.]+) times its usual demand for (\d+) s, ([^,]*), while (.*)$/,
    async (factor: string, seconds: string, spread: string, fault: string) => {
        for (const run of runs) {
            await play(run, [{ account: FIRST, factor: Number(factor) }], Number(seconds), spread, fault);
        }
    },
);

When(
    "the first sends its usual demand for {int} s while the second sends {float} times its usual demand",
    async (seconds: number, factor: number) => {
        for (const run of runs) {
            const demands = [{ account: FIRST, factor: 1 }, { account: SECOND, factor }];
            await play(run, demands, seconds, "on all hosts");
        }
    },
);

When("the limit becomes {int} tokens a second", (perSecond: number) => {
    limit = { ...limit, perSecond };
    for (const run of runs) {
        run.fleet.setAccounts([{ name: FIRST, limit }]);
        run.sinceMs = run.fleet.clock.nowMs();
    }
});

When("it sends {int} requests", async (count: number) => {
    for (const { fleet } of runs) {
        fleet.hosts.forEach(host => {
            for (let index = 0; index < count / fleet.hosts.length; index += 1) {
                fleet.request(host, FIRST, 1000);
            }
        });
        await fleet.advance(10);
    }
});

When("{int} requests come at once", async (count: number) => {
    for (const { fleet } of runs) {
        for (let index = 0; index < count; index += 1) {
            fleet.request(fleet.hosts[0] ?? brandId(""), FIRST, 1);
        }
        await fleet.advance(1);
    }
});

const isGranted = ({ permit }: Decision): boolean => permit.kind === "granted";
const isRefused = ({ permit }: Decision): boolean => permit.kind === "refused";

/** Returns the largest cost in a window that ends at or after `fromMs`. */
function findMostUsed(decisions: readonly Decision[], fromMs: number): number {
    const sorted = [...decisions].sort((a, b) => a.atMs - b.atMs);
    let most = 0;
    let sum = 0;
    let first = 0;
    for (const { atMs, cost } of sorted) {
        sum += cost;
        while ((sorted[first]?.atMs ?? Infinity) <= atMs - WINDOW_S * MS_PER_S) {
            sum -= sorted[first]?.cost ?? 0;
            first += 1;
        }
        most = atMs >= fromMs ? Math.max(most, sum) : most;
    }
    return most;
}

function checkBound(decisions: readonly Decision[], fromMs: number): void {
    const allowed = (limit.perSecond * WINDOW_S + limit.burst) * EXCESS + SLACK;
    const most = findMostUsed(decisions, fromMs);
    ok(most <= allowed, `${most} units in a window, allowed ${allowed}`);
}

function checkUse(decisions: readonly Decision[], fromMs: number, toMs: number, percent: number): void {
    const used = decisions.filter(({ atMs }) => atMs >= fromMs).reduce((sum, { cost }) => sum + cost, 0);
    const share = used * 100 * MS_PER_S / (limit.perSecond * (toMs - fromMs));
    ok(share >= percent, `${share.toFixed(1)} in 100 of the limit used`);
}

Then("no request is refused once the fleet has run for 10 s", () => {
    for (const { fleet, sinceMs } of runs) {
        const refused = fleet.decisions.filter(decision => isRefused(decision) && decision.atMs >= sinceMs + START_MS);
        strictEqual(refused.length, 0, `${refused.length} of ${fleet.decisions.length}: ${JSON.stringify(refused[0])}`);
        ok(fleet.decisions.length > 0);
    }
});

Then("no request of the first is refused once the fleet has run for 10 s", () => {
    for (const { fleet, sinceMs } of runs) {
        const own = fleet.decisions.filter(({ account, atMs }) => account === FIRST && atMs >= sinceMs + START_MS);
        const others = fleet.decisions.filter(({ account }) => account === SECOND);
        strictEqual(own.filter(isRefused).length, 0, JSON.stringify(own.filter(isRefused)));
        ok(own.length > 0 && others.some(isRefused));
    }
});

Then("at most {int} in 100 requests are refused", (percent: number) => {
    const decisions = runs.flatMap(({ fleet }) => fleet.decisions);
    const refused = decisions.filter(isRefused).length;
    ok(refused * 100 <= decisions.length * percent, `${refused} of ${decisions.length} refused`);
});

Then(
    "every window stays within the bound",
    () => runs.forEach(({ fleet, sinceMs }) => checkBound(fleet.decisions.filter(isGranted), sinceMs)),
);

Then("at least {int} in 100 of the limit of the account is used", (percent: number) => {
    for (const { fleet } of runs) {
        // The first stretch is usual demand.
        const fromMs = fleet.clock.nowMs() - 25 * MS_PER_S;
        checkUse(fleet.decisions.filter(isGranted), fromMs, fleet.clock.nowMs(), percent);
    }
});

Then(
    "every window from {int} s after the change on stays within the bound",
    (seconds: number) =>
        runs.forEach(({ fleet, sinceMs }) =>
            checkBound(fleet.decisions.filter(isGranted), sinceMs + seconds * MS_PER_S)
        ),
);

Then(
    "from then on at least {int} in 100 of the limit of the account is used",
    (percent: number) =>
        runs.forEach(({ fleet, sinceMs }) =>
            checkUse(fleet.decisions.filter(isGranted), sinceMs, fleet.clock.nowMs(), percent)
        ),
);

Then("no request has waited longer than {int} ms for its decision", (mostMs: number) => {
    for (const { fleet } of runs) {
        const longest = Math.max(...fleet.decisions.map(({ atMs, askedMs }) => atMs - askedMs));
        ok(longest <= mostMs, `a request waited for ${longest} ms`);
    }
});

Then("all are unlimited and no message was sent", () => {
    for (const { fleet } of runs) {
        ok(fleet.decisions.length > 0);
        ok(fleet.decisions.every(({ permit }) => permit.kind === "unlimited"));
        strictEqual(fleet.messages, 0);
    }
});

let ran: Decision[][] = [];

When(
    /^it sends ([\d.]+) times its usual demand for (\d+) s, on all hosts, and every second granted request does not run$/,
    async (factor: string, seconds: string) => {
        ran = [];
        for (const run of runs) {
            const kept: Decision[] = [];
            let seen = 0;
            for (let second = 0; second < Number(seconds) * 10; second += 1) {
                await play(run, [{ account: FIRST, factor: Number(factor) }], 0.1, "on all hosts");
                for (const decision of run.fleet.decisions.slice(seen)) {
                    if (decision.permit.kind === "granted") {
                        if (run.random.next() < 0.5) {
                            decision.permit.giveBack();
                        }
                        else {
                            kept.push(decision);
                        }
                    }
                }
                seen = run.fleet.decisions.length;
            }
            ran.push(kept);
        }
    },
);

Then(
    "what has run stays within the bound in every window",
    () => runs.forEach(({ sinceMs }, index) => checkBound(ran[index] ?? [], sinceMs)),
);

Then(
    "at least {int} in 100 of the limit has run",
    (percent: number) =>
        runs.forEach(({ fleet, sinceMs }, index) => checkUse(ran[index] ?? [], sinceMs, fleet.clock.nowMs(), percent)),
);

Then(
    "{int} are granted and the others are told to return {int} ms after each other",
    (granted: number, gapMs: number) => {
        for (const { fleet } of runs) {
            strictEqual(fleet.decisions.filter(isGranted).length, granted);
            const times = fleet.decisions.map(({ permit }) => permit).filter(permit => permit.kind === "refused")
                .map(({ readyInMs }) => Math.round(readyInMs));
            deepStrictEqual(
                times.slice(1).map((time, index) => time - (times[index] ?? 0)),
                times.slice(1).map(() => gapMs),
            );
        }
    },
);
