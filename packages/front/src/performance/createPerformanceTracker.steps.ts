import type { EngineEntry, EngineSpec, Service } from "@fulmarcleat/directory";
import { createMetrics } from "@fulmarcleat/events";
import type { Metrics } from "@fulmarcleat/events";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId, ManualClock } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { LearnedPerformance } from "@fulmarcleat/wire";
import { createPerformanceTracker } from "./createPerformanceTracker.js";
import type { PerformanceTracker } from "./createPerformanceTracker.js";

const SERVICE = {
    name: brandId("models"),
    maxConnections: 8,
    engine: { eventTokens: 4 } as EngineSpec,
} as Service;

let clock: ManualClock;
let metrics: Metrics;
let lines: string[] = [];
let performance: PerformanceTracker;

Given("a performance tracker", () => {
    clock = createManualClock(0);
    metrics = createMetrics();
    lines = [];
    const log = {
        write: (level: string, event: number, fields?: Readonly<Record<string, unknown>>) =>
            void lines.push(String(fields?.["paces"])),
    };
    performance = createPerformanceTracker({ clock, metrics, log });
});

When(/^engine "(.*)" states (\w+) percent$/, (id: string, percent: string) => state(id, percent));

When(/^a first byte of engine "(.*)" takes (\d+) ms for (\d+) tokens$/, (id: string, ms: string, tokens: string) => {
    performance.recordSample(entryOf(id), { kind: "first_byte", ms: Number(ms), tokens: Number(tokens) });
});

When(
    /^(\d+) first bytes of engine "(.*)" show (\d+) tokens in a millisecond$/,
    (count: string, id: string, perMs: string) => {
        for (let at = 0; at < Number(count); at += 1) {
            const tokens = at % 2 === 0 ? 0 : 4000;
            const ms = 10 + tokens / Number(perMs);
            performance.recordSample(entryOf(id), { kind: "first_byte", ms, tokens });
        }
    },
);

When(/^(\d+) events of engine "(.*)" come (\d+) ms apart$/, (count: string, id: string, ms: string) => {
    for (let event = 0; event < Number(count); event += 1) {
        performance.recordGap(entryOf(id), Number(ms));
    }
});

When(
    /^(\d+) requests of engine "(.*)" take (\d+) ms of work, one each (\d+) ms$/,
    (count: string, id: string, ms: string, intervalMs: string) => {
        for (let request = 0; request < Number(count); request += 1) {
            performance.recordSample(entryOf(id), { kind: "work", ms: Number(ms), tokens: 0 });
            clock.advance(Number(intervalMs));
        }
    },
);

Then(
    "the performance tracker has counted {int} samples of work",
    (count: number) => strictEqual(metrics.read("engine_samples_total", { kind: "work" }), count),
);

When(/^(\d+) ms pass for the performance tracker$/, (ms: string) => clock.advance(Number(ms)));

When(
    /^the owner of engine "(.*)" reports (.*)$/,
    (id: string, pace: string) =>
        performance.recordOwnerPace(brandId(id), JSON.parse(pace) as unknown as LearnedPerformance),
);

When(/^engine "(.*)" is removed from the performance tracker$/, (id: string) => performance.remove(brandId(id)));

When(
    /^(\d+) engines state 100 percent each (\d+) ms for (\d+) s$/,
    (engines: string, intervalMs: string, seconds: string) => {
        for (let passedMs = 0; passedMs < Number(seconds) * 1000; passedMs += Number(intervalMs)) {
            clock.advance(Number(intervalMs));
            for (let engine = 0; engine < Number(engines); engine += 1) {
                state(`i-${engine}`, "100");
            }
        }
    },
);

Then(
    /^the pace of engine "(.*)" is (known|unknown) and (.*) is to be reported of it$/,
    (id: string, pace: string, seen: string) => {
        strictEqual(performance.readPace(entryOf(id)) === undefined ? "unknown" : "known", pace);
        strictEqual(performance.isLearning(SERVICE.name), pace === "known");
        strictEqual(JSON.stringify(performance.takeSeen(brandId(id))) ?? "nothing", seen);
    },
);

Then(
    /^engine "(.*)" reads ([\d.]+) tokens in a millisecond and sends an event each (\d+) ms$/,
    (id: string, tokens: string, ms: string) => {
        const pace = performance.readPace(entryOf(id));
        strictEqual(pace?.promptTokensPerMs.toFixed(1), Number(tokens).toFixed(1));
        strictEqual(Math.round(pace?.eventMs ?? 0), Number(ms));
    },
);

Then(/^the slowdown of engine "(.*)" is ([\d.]+)$/, (id: string, slowdown: string) => {
    strictEqual(performance.readPace(entryOf(id))?.slowdown, Number(slowdown));
});

Then(
    /^the performance tracker has written (\d+) log lines, which name (\d+) engines$/,
    (count: string, engines: string) => {
        strictEqual(lines.length, Number(count));
        const names = new Set(lines.flatMap(line => line.split(" ")).map(part => part.split("=")[0]));
        strictEqual(names.size, Number(engines));
    },
);

Then("the gauge of the median speed is {float}", (value: number) => {
    ok(Math.abs(metrics.read("engine_tokens_per_ms", { service: "models", rank: "median" }) - value) < 0.01);
});

function entryOf(id: string): EngineEntry {
    return { id: brandId<EngineId>(id), service: SERVICE.name } as EngineEntry;
}

function state(id: string, percent: string): void {
    const workPercent = percent === "no" ? undefined : Number(percent);
    performance.recordLoad(entryOf(id), SERVICE, { running: 1, waiting: 0, slots: 8, workPercent });
}
