import type { EngineEntry, EngineTarget, KnownEngine } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import { brandId, createManualClock, createRandom, sleep } from "@fulmarcleat/ids";
import type { EngineId, FailureDomain, HostId, Incarnation, ManualClock, ServiceName } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { EngineReachReply, EngineReachRequest, PeerClient } from "@fulmarcleat/wire";
import { setImmediate } from "node:timers/promises";
import type { ClusterView } from "./createClusterView.js";
import { createEngineClosures } from "./createEngineClosures.js";
import { createEnginePaths } from "./createEnginePaths.js";
import type { SurveyedPaths } from "./createEnginePaths.js";
import type { FrontContext } from "./frontContext.js";

const OTHER = {
    host: brandId<HostId>("front-2"),
    incarnation: brandId<Incarnation>("1"),
    ip: "127.0.0.1",
    port: 1,
    domain: brandId<FailureDomain>("b"),
    forwardPort: 2,
    isLeaving: false,
};
/** Step of the clock, in milliseconds. */
const STEP_MS = 50;
/** Time for which probes are watched, in milliseconds. */
const WATCHED_MS = 20_000;

let clock: ManualClock;
let paths: SurveyedPaths;
let entries: readonly EngineEntry[] = [];
let areOpen = false;
let reportMs = 0;
let reports = 0;
/** Clock reading from which on another host hears from the engines, in milliseconds. */
let heardFromMs = Infinity;
let reply: EngineReachReply | undefined;
let probedMs: Map<EngineId, number[]>;

Given("a host before {int} engines, none of which it reaches", (count: number) => {
    clock = createManualClock(0);
    areOpen = false;
    reportMs = 0;
    reports = 0;
    heardFromMs = Infinity;
    // Each engine has a service of its own, so that what is known of one says nothing of the others.
    entries = Array.from({ length: count }, (value, at) => ({
        id: brandId<EngineId>(`i-${at}`),
        service: brandId<ServiceName>(`s-${at}`),
        address: { ip: "127.0.0.1", port: at },
    } as unknown as EngineEntry));
    probedMs = new Map(entries.map(({ id }) => [id, []]));
    const control = {
        connects({ id }: EngineTarget) {
            probedMs.get(id)?.push(clock.nowMs());
            return Promise.resolve(areOpen);
        },
        async probe() {
            reports += 1;
            await (reportMs === 0 ? undefined : sleep(clock, reportMs));
            return areOpen ? "running" : "unclear";
        },
    };
    const context = {
        clock,
        control,
        random: createRandom(1),
        metrics: createMetrics(),
        log: { write: () => undefined },
        deployment: { host: "front-1", domain: "a" },
    } as unknown as FrontContext;
    const view = {
        engines: new Map(entries.map(entry => [entry.id, { entry, isUsable: true } as unknown as KnownEngine])),
        members: new Map([[OTHER.host, OTHER]]),
        config: undefined,
        onEngineRemoved: () => undefined,
    } as unknown as ClusterView;
    const peers = {
        request: (to: unknown, name: string, { service }: EngineReachRequest) =>
            Promise.resolve({
                heardAgoMs: entries.filter(entry => entry.service === service && clock.nowMs() >= heardFromMs)
                    .map(({ id }) => [id, 0]),
                helpers: [],
                running: 0,
            }),
    } as unknown as PeerClient;
    paths = createEnginePaths(
        context,
        view,
        createEngineClosures(context, view),
        () => peers,
        () => 0,
        () => undefined,
    );
});

async function advance(lengthMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < lengthMs; passedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await setImmediate();
    }
}

When("{int} requests find no connection", (count: number) => {
    entries.slice(0, count).forEach(entry => {
        paths.recordSend(entry);
        paths.recordEnd(entry, "unsent");
    });
});

Then(
    "each engine is probed within {int} ms, and again every {int} ms",
    async (firstMs: number, againMs: number) => {
        await advance(WATCHED_MS);
        for (const [id, times] of probedMs) {
            ok((times[0] ?? Infinity) <= firstMs, `${id} was probed first after ${times[0]} ms`);
            const gaps = [...times, clock.nowMs()].map((atMs, at) => atMs - (times[at - 1] ?? 0)).slice(1);
            ok(Math.max(...gaps) <= againMs, `${id} was not probed for ${Math.max(...gaps)} ms`);
        }
    },
);

When("the paths are back after {int} ms", async (afterMs: number) => {
    await advance(afterMs);
    strictEqual(entries.some(({ service }) => paths.hasSuspect(service)), true);
    areOpen = true;
});

Then("no engine is suspect from {int} ms after that on", async (afterMs: number) => {
    await advance(afterMs);
    deepStrictEqual(entries.filter(({ service }) => paths.hasSuspect(service)).map(({ id }) => id), []);
});

Given("its paths become open: {word}; a report takes {int} ms", (isOpen: string, tookMs: number) => {
    areOpen = isOpen === "true";
    reportMs = tookMs;
});

Given("bytes came from the engine {int} ms ago", async (agoMs: number) => {
    entries.forEach(entry => paths.recordBytes(entry));
    await advance(agoMs);
});

When("another host asks which engines it hears from", () => {
    reply = undefined;
    entries.forEach(({ service }) => void paths.answer({ service }).then(next => void (reply = next)));
});

Then(
    "the reply comes within {int} ms and says that it hears from {int} engines",
    async (withinMs: number, count: number) => {
        await setImmediate();
        await advance(withinMs);
        strictEqual(reply?.heardAgoMs.length, count);
    },
);

Then("{int} reports were asked for", (count: number) => {
    strictEqual(reports, count);
});

When(
    "the engine starts after {int} ms, and another host hears it {int} ms later",
    async (stoppedMs: number, othersMs: number) => {
        await advance(stoppedMs);
        areOpen = true;
        heardFromMs = clock.nowMs() + othersMs;
    },
);

When("the engine runs all the while, and another host hears it", () => {
    heardFromMs = clock.nowMs();
});

/** Returns when the path to the first engine counted as lost, in milliseconds from now; undefined if it never did. */
async function findLostAfterMs(lengthMs: number): Promise<number | undefined> {
    const [entry] = entries;
    ok(entry !== undefined);
    for (let passedMs = 0; passedMs <= lengthMs; passedMs += STEP_MS) {
        if (paths.isPathLost(entry.id)) {
            return passedMs;
        }
        await advance(STEP_MS);
    }
    return undefined;
}

Then("its path never counts as lost within {int} ms", async (lengthMs: number) => {
    strictEqual(await findLostAfterMs(lengthMs), undefined);
});

Then("its path counts as lost within {int} ms", async (lengthMs: number) => {
    ok(await findLostAfterMs(lengthMs) !== undefined);
});
