import { brandId } from "@fulmarcleat/ids";
import type { HostId, Incarnation, PlaceId } from "@fulmarcleat/ids";
import { fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { createEngineState } from "./createEngineState.js";
import type { EngineEffect } from "./engineEffect.js";
import type { EngineMessage } from "./engineMessage.js";
import type { EngineLimits, EngineState } from "./engineState.js";
import { formatInstanceName } from "./formatInstanceName.js";
import { reduceEngine } from "./reduceEngine.js";

const LIMITS: EngineLimits = {
    queueLimit: 4,
    callerQueueLimit: 4,
    agingMs: 1000,
    maxRequestMs: 60_000,
    replicaRate: 10,
    batchSlots: 2,
    adapterPlaces: 2,
    fencing: "ignored",
    draining: false,
};
/** Longest time between two messages, in milliseconds. */
const MAX_STEP_MS = 8000;

const host = fc.constantFrom("a", "b").map(name => brandId<HostId>(name));
const incarnation = fc.constantFrom("1", "2").map(name => brandId<Incarnation>(name));
const place = fc.integer({ min: 1, max: 6 }).map(number => brandId<PlaceId>(`p${number}`));
const adapter = fc.constantFrom("x", "y", "z");
const instance = fc.record({ adapter, fence: fc.integer({ min: 1, max: 3 }), load: fc.integer({ min: 1, max: 4 }) })
    .map(parts => formatInstanceName({ ...parts, adapter: brandId(parts.adapter), version: brandId("1") }));
const result = fc.constantFrom(
    undefined,
    { kind: "done" } as const,
    { kind: "refused", reason: "full", message: "" } as const,
    { kind: "refused", reason: "not_found", message: "" } as const,
    { kind: "refused", reason: "failed", message: "" } as const,
);
const loaded = fc.array(fc.record({ instance, running: fc.integer({ min: 0, max: 2 }) }), { maxLength: 3 });
const message: fc.Arbitrary<EngineMessage> = fc.oneof(
    fc.record({
        kind: fc.constant("acquired" as const),
        fence: fc.integer({ min: 1, max: 3 }),
        former: fc.constantFrom("none" as const, "released" as const, "gone" as const, "lapsed" as const),
        hosts: fc.array(host, { maxLength: 2 }),
        leaseMs: fc.constant(1000),
    }),
    fc.constantFrom({ kind: "lost" as const }, { kind: "release" as const }, { kind: "formerGone" as const }),
    fc.record({ place, adapter, host, incarnation }).map(waiting => ({
        kind: "ask" as const,
        waiting: {
            ...waiting,
            requestId: brandId(waiting.place),
            adapter: brandId(waiting.adapter),
            version: brandId("1"),
            weights: "w",
            caller: brandId("caller"),
            priority: "normal" as const,
            arrivedMs: 0,
            deadlineMs: 1_000_000,
        } as const,
    })) as fc.Arbitrary<EngineMessage>,
    fc.record({
        kind: fc.constant("placeEnd" as const),
        place,
        use: fc.constantFrom("finished" as const, "failed" as const, "unused" as const, "not_loaded" as const),
    }),
    fc.record({ kind: fc.constant("loadAnswered" as const), instance, result }),
    fc.record({ kind: fc.constant("unloadAnswered" as const), instance, result }),
    fc.record({ kind: fc.constant("hostGone" as const), host, incarnation }),
    fc.record({
        kind: fc.constant("held" as const),
        host,
        incarnation,
        fence: fc.integer({ min: 1, max: 3 }),
        askedMs: fc.integer({ min: 0, max: 100_000 }),
        pending: fc.array(place, { maxLength: 2 }),
        places: fc.array(fc.record({ place, instance }), { maxLength: 2 }),
    }),
    fc.record({ incarnation, loaded, askedMs: fc.integer({ min: 0, max: 100_000 }) }).map(entry => ({
        kind: "report" as const,
        askedMs: entry.askedMs,
        report: {
            incarnation: entry.incarnation,
            instances: entry.loaded,
            running: 0,
            waiting: 0,
            batchSlots: 2,
            adapterPlaces: 2,
        },
    })),
);

Then("reduceEngine keeps its invariants under {int} random runs", (runs: number) => {
    const steps = fc.array(fc.record({ message, waitMs: fc.integer({ min: 0, max: MAX_STEP_MS }) }), { maxLength: 40 });
    fc.assert(
        fc.property(steps, fc.boolean(), (list, isSuspended) => {
            let state = createEngineState(brandId("engine"), LIMITS);
            let nowMs = 0;
            for (const step of list) {
                nowMs += step.waitMs;
                const before = JSON.stringify(state);
                const next = reduceEngine(state, step.message, { nowMs, loadsAllowed: 2, isSuspended });
                strictEqual(JSON.stringify(state), before);
                next.effects.forEach(effect => checkEffect(effect, next.state, isSuspended));
                state = next.state;
            }
        }),
        { numRuns: runs },
    );
});

function checkEffect(effect: EngineEffect, state: EngineState, isSuspended: boolean): void {
    switch (effect.kind) {
        case "unload":
            ok(
                !state.places.some(entry => entry.instance === effect.instance),
                "an instance that has a place must not be evicted",
            );
            ok(!isSuspended, "a suspended owner must not evict");
            return;
        case "grant":
            ok(!isSuspended, "a suspended owner must not grant places");
            strictEqual(effect.fence, state.fence);
            ok(effect.instance.startsWith(`${effect.waiting.adapter}@${effect.waiting.version}#`));
            return;
        case "load":
            ok(!isSuspended, "a suspended owner must not load adapters");
            ok(
                state.instances.length <= state.limits.adapterPlaces,
                "the instances must not exceed the engine's adapter slots",
            );
            return;
        case "refuse":
        case "showFence":
        case "released":
        case "decision":
            return;
    }
}
