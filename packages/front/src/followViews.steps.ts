import { brandId, createRandom } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { CONFIG_KEY, ENGINE_PREFIX } from "@fulmarcleat/platform";
import { deepStrictEqual, Given, ok, Then, When } from "@fulmarcleat/testing";
import { createViewFleet } from "./createViewFleet.steps.js";
import type { ViewFleet } from "./createViewFleet.steps.js";

const ENGINE = brandId<EngineId>("i-1");
/** Time in which every host that reads the store calls it at least once, in milliseconds. */
const READERS_MS = 3000;
/** Interval between two changes of a load, in milliseconds. */
const CHANGE_INTERVAL_MS = 100;
/** Time for changes in a fleet whose links are limited, in milliseconds. */
const LARGE_APPLY_MS = 3000;
const BYTES_PER_KB = 1000;
/** Time between two groups of changed entries, in milliseconds, and the size of an entry. */
const ENTRY_STEP_MS = 100;
const ENTRY_BYTES = 600;
/** Longest fault of a random sequence, in milliseconds. */
const MAX_FAULT_MS = 3000;
/** Time within which a fault's effect begins before a change is accepted, in milliseconds. */
const FAULT_LEAD_MS = 50;

let fleet: ViewFleet;
let applyMs = 0;
let version = 1;
let affected: ReadonlySet<string> = new Set();
let callsPerS = 0;
/** Requests of hosts to other hosts before the fault, and when it began, in milliseconds. */
let asksBefore = 0;
let askedSinceMs = 0;

Given(
    "{int} hosts in {int} failure domains that follow the store, changes due within {int} ms",
    (hosts: number, domains: number, dueMs: number) => start(hosts, domains, dueMs, dueMs),
);

Given(
    "{int} hosts in {int} failure domains, changes due within {int} ms, an engine's leaving within {int} ms",
    (hosts: number, domains: number, dueMs: number, drainMs: number) => start(hosts, domains, dueMs, drainMs),
);

Given(
    "{int} hosts in {int} failure domains, {int} of each with links of {int} Mbit\\/s and the others of {int}",
    async (hosts: number, domains: number, fast: number, fastMbps: number, slowMbps: number) => {
        const readLinkMbps = (host: string): number =>
            Number(host.slice("host-".length)) < fast * domains ? fastMbps : slowMbps;
        await start(hosts, domains, LARGE_APPLY_MS, LARGE_APPLY_MS, readLinkMbps);
    },
);

When(
    "{int} configurations of {int} KB are accepted, one each {int} ms, and an engine announces that it leaves",
    async (versions: number, kb: number, intervalMs: number) => {
        for (let count = 0; count < versions; count += 1) {
            await fleet.advance(count === 0 ? 0 : intervalMs);
            putConfig(kb * BYTES_PER_KB);
        }
        putEngine("draining");
    },
);

When(
    /^(nothing changes|an engine's entry changes each 100 ms) for (\d+) ms$/,
    async (changes: string, forMs: string) => {
        const callsBefore = fleet.storeCalls;
        for (let passedMs = 0; passedMs < Number(forMs); passedMs += CHANGE_INTERVAL_MS) {
            if (changes !== "nothing changes") {
                putEngine("ready");
            }
            await fleet.advance(CHANGE_INTERVAL_MS);
        }
        callsPerS = (fleet.storeCalls - callsBefore) / (Number(forMs) / 1000);
    },
);

When(
    /^(nothing fails|no host reaches another one|nine of ten hosts are killed|(?:all followed hosts|the hosts that read the store) are .*)$/,
    async (fault: string) => {
        playFault(fault);
        await fleet.advance(FAULT_LEAD_MS);
    },
);

When(
    /^the store (turns away|is silent for) (a third of the hosts|all followed hosts|all hosts but one|all hosts)$/,
    async (fault: string, which: string) => {
        const hosts = listNamed(which);
        if (fault === "turns away") {
            fleet.faults.turnAway(hosts);
        }
        else {
            fleet.faults.cutFromStore(hosts);
        }
        await fleet.advance(FAULT_LEAD_MS);
        asksBefore = fleet.peerAsks;
        askedSinceMs = fleet.nowMs();
    },
);

When(/^the followed store comes back from a copy (\d+) ms old$/, async (ageMs: string) => {
    const restore = fleet.store.copy();
    for (let write = 0; write < WRITES_AFTER_COPY; write += 1) {
        fleet.store.put("servers/i-2", Buffer.from(String(write)));
    }
    await fleet.advance(Number(ageMs));
    fleet.store.setMode("silent");
    await fleet.advance(AWAY_MS);
    restore();
    fleet.store.setMode("serving");
});

/** Changes that the copy lacks, so that revisions go back far. */
const WRITES_AFTER_COPY = 200;
/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const AWAY_MS = 1000;

Then(
    "within {int} ms all hosts have made at most {int} lists in any 100 ms",
    async (withinMs: number, most: number) => {
        for (let passedMs = 0; passedMs < withinMs; passedMs += 100) {
            const before = fleet.storeLists;
            await fleet.advance(100);
            ok(fleet.storeLists - before <= most, `${fleet.storeLists - before} lists after ${passedMs} ms`);
        }
    },
);

When(/^the followed store (answers nothing for .* ms|forgets its history)$/, async (fault: string) => {
    if (fault === "forgets its history") {
        putConfig();
        fleet.store.compact();
        fleet.store.silenceOpenCalls();
        return;
    }
    fleet.store.setMode("silent");
    await fleet.advance(Number(/\d+/.exec(fault)?.[0]));
    fleet.store.setMode("serving");
});

When("{int} ms pass in the fleet", (ms: number) => fleet.advance(ms));

When("a configuration is accepted and an engine announces that it leaves", () => {
    putConfig();
    putEngine("draining");
});

When(
    "the entries of {int} engines change each {int} ms for {int} ms",
    async (engines: number, intervalMs: number, forMs: number) => {
        const callsBefore = fleet.storeCalls;
        for (let passedMs = 0; passedMs < forMs; passedMs += ENTRY_STEP_MS) {
            const perStep = engines * ENTRY_STEP_MS / intervalMs;
            for (let index = 0; index < perStep; index += 1) {
                const name = `i-entry-${Math.round(passedMs / ENTRY_STEP_MS * perStep + index) % engines}`;
                fleet.store.put(ENGINE_PREFIX + name, Buffer.from(formatEntry("ready").padEnd(ENTRY_BYTES)));
            }
            await fleet.advance(ENTRY_STEP_MS);
        }
        callsPerS = (fleet.storeCalls - callsBefore) / (forMs / 1000);
    },
);

Then("all hosts together have made at most {int} calls a second to the store", (most: number) => {
    ok(callsPerS <= most, `${callsPerS} calls`);
});

Then("each host has asked other hosts at most {int} times a second", (most: number) => {
    const perS = (fleet.peerAsks - asksBefore) / fleet.hosts.length / ((fleet.nowMs() - askedSinceMs) / 1000);
    ok(perS <= most, `${perS} times`);
});

Then("each host's view is at most {int} ms old", (most: number) => {
    const ages = fleet.hosts.flatMap(host =>
        (["config", "engines", "hosts"] as const).map(part => fleet.findView(host)?.readAgeMs(part) ?? Infinity)
    );
    ok(Math.max(...ages) <= most, `${Math.max(...ages)} ms`);
});

Then("both are in force {int} ms later at each host that runs and reaches the store", async (ms: number) => {
    await fleet.advance(ms);
    deepStrictEqual(listLate().filter(host => !affected.has(host)), []);
});

Then("both are in force {int} ms later at each host that runs", async (ms: number) => {
    await fleet.advance(ms);
    deepStrictEqual(listLate(), []);
});

Then(
    "in {int} random sequences of cuts and freezes no host's configuration goes back",
    async (sequences: number) => {
        const known = new Map<string, number>();
        for (let sequence = 1; sequence <= sequences; sequence += 1) {
            const random = createRandom(sequence);
            const pick = (): readonly string[] => fleet.hosts.filter(() => random.next() < 0.3);
            fleet.faults.cutFromStore(pick());
            fleet.faults.freeze(pick());
            fleet.peers.cut(pick());
            putConfig();
            await fleet.advance(MAX_FAULT_MS * random.next());
            for (const host of fleet.hosts) {
                const seen = fleet.findView(host)?.config?.version ?? 0;
                ok(seen >= (known.get(host) ?? 0), `${host} goes back to ${seen}`);
                known.set(host, seen);
            }
        }
        fleet.faults.cutFromStore([]);
        fleet.faults.freeze([]);
        fleet.peers.cut([]);
        await fleet.advance(MAX_FAULT_MS + applyMs);
        deepStrictEqual(fleet.hosts.filter(host => fleet.findView(host)?.config?.version !== version), []);
    },
);

async function start(
    hosts: number,
    domains: number,
    dueMs: number,
    drainMs: number,
    readLinkMbps?: (host: string) => number,
): Promise<void> {
    applyMs = dueMs;
    version = 1;
    affected = new Set();
    const options = { hosts, domains, applyMs, drainMs };
    fleet = await createViewFleet(readLinkMbps === undefined ? options : { ...options, readLinkMbps });
    putConfig();
    putEngine("ready");
    await fleet.advance(READERS_MS);
    fleet.takeStoreReaders();
    await fleet.advance(READERS_MS);
}

/** Plays a fault as a row of the table names it; the hosts whose own path or process fails are left out of the check. */
function playFault(fault: string): void {
    const readers = fleet.takeStoreReaders();
    if (fault === "nothing fails") {
        return;
    }
    if (fault === "no host reaches another one") {
        fleet.peers.cut(fleet.hosts);
        return;
    }
    const hosts = fault.startsWith("nine of ten")
        ? fleet.hosts.filter((host, at) => at % 10 !== 0)
        : fault.startsWith("all followed hosts")
        ? listFollowed(readers)
        : readers;
    if (fault.endsWith("cut off from other hosts")) {
        fleet.peers.cut(hosts);
        return;
    }
    affected = new Set(hosts);
    if (fault.endsWith("killed")) {
        hosts.forEach(fleet.kill);
    }
    else if (fault.endsWith("frozen")) {
        fleet.faults.freeze(hosts);
    }
    else {
        fleet.faults.cutFromStore(hosts);
    }
}

/** Lists the running hosts that lack the newest configuration, or take the engine that leaves for one to use. */
function listLate(): readonly string[] {
    return fleet.hosts.filter(host => {
        const view = fleet.findView(host);
        return view !== undefined
            && (view.config?.version !== version || view.engines.get(ENGINE)?.isUsable !== false);
    });
}

function listNamed(which: string): readonly string[] {
    switch (which) {
        case "a third of the hosts":
            return fleet.hosts.filter((host, at) => at % 3 === 0);
        case "all followed hosts":
            return listFollowed(fleet.takeStoreReaders());
        case "all hosts but one":
            return fleet.hosts.slice(1);
        default:
            return fleet.hosts;
    }
}

/** Lists the hosts that others follow: those that read the store, and those that do once these are gone. */
function listFollowed(readers: readonly string[]): readonly string[] {
    const followed = fleet.hosts.filter(host => fleet.findView(host)?.isFollowed === true);
    ok(readers.every(host => followed.includes(host)));
    return followed;
}

function putConfig(bytes = 0): void {
    version += 1;
    const limits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 20_000 };
    const text = JSON.stringify({ version, routes: [], services: [], limits });
    fleet.store.put(CONFIG_KEY, Buffer.from(text.padEnd(bytes)));
}

function putEngine(state: string): void {
    fleet.store.put(ENGINE_PREFIX + ENGINE, Buffer.from(formatEntry(state)));
}

function formatEntry(state: string): string {
    return JSON.stringify({ service: "models", address: "127.0.0.1:1", zone: "a", slots: 4, state, born: 1 });
}
