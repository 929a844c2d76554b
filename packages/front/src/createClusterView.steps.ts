import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, ManualClock, Suspect } from "@fulmarcleat/ids";
import { CONFIG_KEY, ENGINE_PREFIX, RELEASE_PREFIX } from "@fulmarcleat/platform";
import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import { createClusterView } from "./createClusterView.js";
import type { ClusterView } from "./createClusterView.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey, formatQuarantineKey, formatVersionKey } from "./hostKeys.js";
import { createStoreHealth } from "./storeHealth.js";

/** The platform's bounds, in milliseconds. */
const BOUNDS = { contactMs: 3000, applyMs: 2000, configApplyMs: 2000, engineDrainMs: 2000 } as const;
/** Step of the manual clock between two turns of the event loop, in milliseconds. */
const STEP_MS = 10;
const ENGINE = brandId<EngineId>("i-1");

function putConfig(store: StoreFake, version: number): void {
    const limits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 20_000 };
    store.put(CONFIG_KEY, Buffer.from(JSON.stringify({ version, routes: [], services: [], limits })));
}

function putEngine(store: StoreFake, id: EngineId, state: "ready" | "draining"): void {
    const entry = { service: "models", address: "127.0.0.1:1", zone: "a", slots: 4, state, born: 1 };
    store.put(ENGINE_PREFIX + id, Buffer.from(JSON.stringify(entry)));
}

/** A host that follows a store under faults. */
interface Follower {
    readonly clock: ManualClock;
    readonly store: StoreFake;
    readonly view: ClusterView;
    readonly advance: (ms: number) => Promise<void>;
}

/** Writes an odd entry as a row of the tables names it. */
function writeOdd(content: string): string {
    const value = /\S*\d\S*/.exec(content)?.[0] ?? "";
    const deep = (levels: number): string => "[".repeat(levels) + "]".repeat(levels);
    const entry = (address: string, slots: string, models: string): string =>
        `{"service":"models","address":"${address}","zone":"a","slots":${slots},"state":"ready","models":${models}}`;
    const [first, second] = content.split(" ");
    switch (first === "a" || first === "an" ? second : first) {
        case "nothing":
            return "";
        case "models":
            return entry("10.0.0.1:80", "4", deep(Number(value)));
        case "slots":
            return entry("10.0.0.1:80", value, "[]");
        case "address":
            return entry(value, "4", "[]");
        case "port":
            return `{"incarnation":"1","ip":"127.0.0.1","port":${value},"isLeaving":false}`;
        case "list":
            return deep(Number(value));
        default:
            throw new Error(`unknown entry: ${content}`);
    }
}

/** Starts a host, with entries of another writer in the store. */
async function follow(
    hosts: number,
    seed: number,
    odd: readonly (readonly [string, string])[] = [],
): Promise<Follower> {
    const clock = createManualClock(0);
    const store = createStoreFake(clock);
    const log = { write: () => undefined };
    const context = {
        clock,
        store,
        log,
        hash: await createHasher(),
        deployment: { host: "host-0" },
        random: createRandom(seed),
        metrics: createMetrics(),
        readBounds: () => BOUNDS,
    } as unknown as FrontContext;
    odd.forEach(([key, text]) => store.put(key, Buffer.from(text)));
    putConfig(store, 1);
    putEngine(store, ENGINE, "ready");
    for (let number = 0; number < hosts; number += 1) {
        const member = { incarnation: brandId<Incarnation>("1"), ip: "127.0.0.1", port: 1, isLeaving: false };
        store.put(formatMemberKey(brandId(`host-${number}`)), formatMember(member));
    }
    const view = createClusterView(context, createStoreHealth(clock, log), () => undefined);
    const advance = async (ms: number): Promise<void> => {
        for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
            clock.advance(STEP_MS);
            await setImmediate();
        }
    };
    await advance(5000);
    strictEqual(view.members.size, hosts);
    return { clock, store, view, advance };
}

/** Plays one fault as a row of the table names it. */
async function playFault({ store, advance }: Follower, fault: string): Promise<void> {
    const [, how = "", forMs = "0", isCompacted] = /^(\w+) .*?(?:for (\d+) ms)?( and compacts)?$/.exec(fault) ?? [];
    switch (how) {
        case "silences":
            store.silenceOpenCalls();
            return;
        case "answers":
        case "rejects":
            store.setMode(how === "rejects" ? "rejecting" : "silent");
            await advance(Number(forMs));
            if (isCompacted !== undefined) {
                store.compact();
            }
            store.setMode("serving");
            return;
        default:
            throw new Error(`unknown fault: ${fault}`);
    }
}

let follower: Follower;

Given("a host among {int} hosts that follows the store", async (hosts: number) => {
    follower = await follow(hosts, hosts);
});

When(/^the store (silences .*|answers nothing .*|rejects .*)$/, (fault: string) => playFault(follower, fault));

When(
    "the store comes back from a copy that is {int} ms old, after {int} changes",
    async (ageMs: number, writes: number) => {
        const { store, advance } = follower;
        const restore = store.copy();
        for (let write = 0; write < writes; write += 1) {
            store.put("servers/i-2", Buffer.from(String(write)));
        }
        await advance(ageMs);
        store.setMode("silent");
        await advance(AWAY_MS);
        restore();
        store.setMode("serving");
    },
);

/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const AWAY_MS = 1000;
const NEW_ENGINE = brandId<EngineId>("i-3");
const LATE_HOST = brandId<HostId>("host-late");
const SUSPECT = brandId<Suspect>("part");
const VERSION_KEY = formatVersionKey({ service: brandId("models"), softwareVersion: brandId("v2") });

/** What is written after the copy, and whether a host goes by it. */
interface LostWrite {
    readonly write: (store: StoreFake) => void;
    readonly holds: (view: ClusterView) => boolean;
}

const LOST_WRITES: Readonly<Record<string, LostWrite>> = {
    "a configuration": { write: store => putConfig(store, 2), holds: view => view.config?.version === 2 },
    "an engine that leaves": {
        write: store => putEngine(store, ENGINE, "draining"),
        holds: view => view.engines.get(ENGINE)?.isUsable === false,
    },
    "an engine that has gone": {
        write: store => store.remove(ENGINE_PREFIX + ENGINE),
        holds: view => !view.engines.has(ENGINE),
    },
    "an engine that has come": {
        write: store => putEngine(store, NEW_ENGINE, "ready"),
        holds: view => view.engines.get(NEW_ENGINE)?.isUsable === true,
    },
    "a version of an adapter": {
        write: store =>
            store.put(`${RELEASE_PREFIX}m.a`, Buffer.from(JSON.stringify({ model: "m", adapter: "a", version: 7 }))),
        holds: view => view.findRelease(brandId("m"), brandId("a")) === 7,
    },
    "a host that has come": {
        write: store =>
            store.put(
                formatMemberKey(LATE_HOST),
                formatMember({ incarnation: brandId("1"), ip: "127.0.0.1", port: 1, isLeaving: false }),
            ),
        holds: view => view.members.has(LATE_HOST),
    },
    "a quarantine": {
        write: store => store.put(formatQuarantineKey(SUSPECT), Buffer.from("host-1")),
        holds: view => view.quarantined.has(SUSPECT) || lostQuarantines.includes(SUSPECT),
    },
    "a software version on record": {
        write: store => store.put(VERSION_KEY, Buffer.from("{}")),
        holds: view => view.recordedVersions.has(VERSION_KEY),
    },
};

let lostQuarantines: Suspect[] = [];

When(/^the store comes back from a copy of the time before (.*)$/, async (name: string) => {
    const { store, view, advance } = follower;
    lostQuarantines = [];
    view.onQuarantineLost(suspect => void lostQuarantines.push(suspect));
    const restore = store.copy();
    LOST_WRITES[name]?.write(store);
    await advance(BOUNDS.configApplyMs);
    strictEqual(LOST_WRITES[name]?.holds(view), true);
    store.setMode("silent");
    await advance(AWAY_MS);
    restore();
    store.setMode("serving");
});

let lostName = "";

Then(/^the host still goes by (.*)$/, async (name: string) => {
    lostName = name;
    await follower.advance(BOUNDS.configApplyMs);
    strictEqual(LOST_WRITES[name]?.holds(follower.view), true);
});

Then("also after {int} ms", async (ms: number) => {
    await follower.advance(ms);
    // An entry that lapsed is to be taken as gone two seconds after the store's return, unless it is written again.
    if (lostName !== "an engine that has come" && lostName !== "a host that has come") {
        strictEqual(LOST_WRITES[lostName]?.holds(follower.view), true);
    }
});

Then("it does so still when the writers have written again", async () => {
    LOST_WRITES[lostName]?.write(follower.store);
    await follower.advance(BOUNDS.configApplyMs);
    strictEqual(LOST_WRITES[lostName]?.holds(follower.view), true);
});

Given(
    /^another writer has put (\S+) with (.*) before a host among (\d+) hosts starts$/,
    async (key: string, content: string, hosts: string) => {
        follower = await follow(Number(hosts), 1, [[key, writeOdd(content)]]);
    },
);

When(/^another writer puts (\S+) with (.*)$/, (key: string, content: string) => {
    follower.store.put(key, Buffer.from(writeOdd(content)));
});

When("{int} ms later a configuration is accepted and an engine announces that it leaves", async (ms: number) => {
    await follower.advance(ms);
    putConfig(follower.store, 2);
    putEngine(follower.store, ENGINE, "draining");
});

Then("both are in force {int} ms later", async (ms: number) => {
    await follower.advance(ms);
    const { view } = follower;
    deepStrictEqual([view.config?.version, view.engines.get(ENGINE)?.isUsable], [2, false]);
});

Then(
    "after outages of {int} to {int} ms the view of one of {int} hosts is never older than the bounds allow",
    async (fromMs: number, toMs: number, hosts: number) => {
        for (let lengthMs = fromMs; lengthMs <= toMs; lengthMs += OUTAGE_STEP_MS) {
            const played = await follow(hosts, lengthMs);
            await playFault(played, `answers nothing for ${lengthMs} ms`);
            putConfig(played.store, 2);
            putEngine(played.store, ENGINE, "draining");
            await played.advance(BOUNDS.contactMs);
            const { config, engines } = played.view;
            deepStrictEqual([config?.version, engines.get(ENGINE)?.isUsable], [2, false], `${lengthMs} ms`);
        }
    },
);

/** Step between the lengths of outages, in milliseconds. */
const OUTAGE_STEP_MS = 100;
/** Faults of one random sequence. */
const FAULTS_PER_SEQUENCE = 6;
/** Longest time without a fault beyond the time after which hosts count as in touch again, in milliseconds. */
const MAX_EXTRA_CALM_MS = 2000;
/** Most steps of the clock between two changes. */
const MAX_STEPS_BETWEEN_CHANGES = 60;
const FAULTS = [
    "silences every open connection",
    "answers nothing for 300 ms",
    "answers nothing for 1500 ms",
    "answers nothing for 4000 ms",
    "rejects calls for 2000 ms",
    "answers nothing for 900 ms and compacts",
] as const;

Then(
    "in {int} random sequences of such faults the view of {int} or {int} hosts is never older than the bounds allow",
    async (seeds: number, few: number, many: number) => {
        for (let seed = 1; seed <= seeds; seed += 1) {
            deepStrictEqual(await playSequence(seed, seed % 2 === 0 ? few : many), [], `seed ${seed}`);
        }
    },
);

/** Plays faults and changes, and lists the changes that were not in force in time after the store had been calm. */
async function playSequence(seed: number, hosts: number): Promise<readonly string[]> {
    const random = createRandom(seed);
    const played = await follow(hosts, seed);
    const { clock, store, view, advance } = played;
    const late: string[] = [];
    let version = 1;
    let calmSinceMs: number | undefined;
    for (let fault = 0; fault < FAULTS_PER_SEQUENCE; fault += 1) {
        calmSinceMs = undefined;
        await playFault(played, FAULTS[Math.floor(random.next() * FAULTS.length)] ?? FAULTS[0]);
        const calmFromMs = clock.nowMs();
        calmSinceMs = calmFromMs;
        const nextFaultMs = calmFromMs + BOUNDS.contactMs + MAX_EXTRA_CALM_MS * random.next();
        while (clock.nowMs() < nextFaultMs) {
            version += 1;
            putConfig(store, version);
            const accepted = version;
            const dueMs = Math.max(clock.nowMs() + BOUNDS.applyMs, calmFromMs + BOUNDS.contactMs);
            clock.setTimer(dueMs - clock.nowMs(), () => {
                if (calmSinceMs === calmFromMs && (view.config?.version ?? 0) < accepted) {
                    late.push(`version ${accepted} is not in force at ${dueMs}`);
                }
            });
            await advance(STEP_MS * Math.ceil(MAX_STEPS_BETWEEN_CHANGES * random.next()));
        }
    }
    return late;
}
