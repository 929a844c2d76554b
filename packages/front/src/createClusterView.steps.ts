import { createMetrics } from "@fulmarcleat/events";
import { createHasher } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom } from "@fulmarcleat/ids";
import type { EngineId, Incarnation, ManualClock } from "@fulmarcleat/ids";
import { CONFIG_KEY, ENGINE_PREFIX } from "@fulmarcleat/platform";
import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { setImmediate } from "node:timers/promises";
import { createClusterView } from "./createClusterView.js";
import type { ClusterView } from "./createClusterView.js";
import { createStoreFake } from "./createStoreFake.steps.js";
import type { StoreFake } from "./createStoreFake.steps.js";
import type { FrontContext } from "./frontContext.js";
import { formatMember, formatMemberKey } from "./hostKeys.js";
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
