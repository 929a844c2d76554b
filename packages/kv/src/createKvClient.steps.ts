import type { KvDriver, KvEntry, KvSwapResult } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import { createEventLog, createMetrics } from "@fulmarcleat/events";
import { createManualClock } from "@fulmarcleat/ids";
import type { ManualClock } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createKvClient } from "./createKvClient.js";
import type { KvClient } from "./createKvClient.js";
import type { KvOutcome } from "./kvOutcome.js";

interface ClientWorld {
    clock: ManualClock;
    client: KvClient;
    swapCalls: number;
    stored: string;
    openWatches: number;
    openedWatches: number;
    revision: number;
    outcome: KvOutcome;
    receivedValues: string[][];
    subscriptions: AbortController[];
}

/** Time for which the client retries an unresolved write, in milliseconds. */
const RESOLVE_MS = 500;
/** Step of the manual clock, in milliseconds. */
const STEP_MS = 50;
/** Largest number of clock steps that a write may take. */
const ROUNDS = 40;
const FIRST_REVISION = 7;

Given("a KV client over a driver that answers {}", function(this: ClientWorld, answersText: string) {
    const answers = JSON.parse(answersText) as string[];
    this.clock = createManualClock(0);
    this.swapCalls = 0;
    this.stored = "present";
    this.openWatches = 0;
    this.openedWatches = 0;
    this.revision = FIRST_REVISION;
    const driver = createScriptedDriver(this, answers);
    this.client = createKvClient({
        driver,
        clock: this.clock,
        metrics: createMetrics(),
        log: createEventLog({ process: "test", level: 0 }),
        resolveMs: RESOLVE_MS,
    });
});

Given("the KV driver reads {string}", function(this: ClientWorld, value: string) {
    this.stored = value;
});

When("the KV client writes {string} with its nonce in it", async function(this: ClientWorld, value: string) {
    const writing = this.client.write({
        purpose: "claim",
        key: "k",
        expectedRevision: 3,
        value,
        isOwn: current => current.split("+").includes(value),
    });
    let isDone = false;
    void writing.then(() => {
        isDone = true;
    });
    for (let round = 0; round < ROUNDS && !isDone; round += 1) {
        await settlePromises();
        this.clock.advance(STEP_MS);
    }
    this.outcome = await writing;
    await this.client.close();
});

Then(
    "the KV write ended as {string} after {int} compare-and-swap call(s)",
    function(this: ClientWorld, kind: string, calls: number) {
        deepStrictEqual({ kind: this.outcome.kind, calls: this.swapCalls }, { kind, calls });
    },
);

When("{int} subscribers watch the same key through the KV client", async function(this: ClientWorld, count: number) {
    this.receivedValues = Array.from({ length: count }, () => []);
    this.subscriptions = this.receivedValues.map(() => new AbortController());
    this.receivedValues.forEach((values, at) => {
        const signal = this.subscriptions[at]?.signal ?? AbortSignal.abort();
        this.client.watch("config", "k", entry => values.push(entry.value), signal);
    });
    await settlePromises();
});

Then(
    "the KV driver has {int} open watch and each subscriber received the value once",
    function(this: ClientWorld, count: number) {
        strictEqual(this.openWatches, count);
        this.receivedValues.forEach(values => deepStrictEqual(values, ["present"]));
    },
);

When("all subscribers of the KV client unsubscribe", async function(this: ClientWorld) {
    this.subscriptions.forEach(controller => controller.abort());
    await settlePromises();
    await this.client.close();
});

Then("the KV driver has {int} open watches", function(this: ClientWorld, count: number) {
    strictEqual(this.openWatches, count);
});

When(
    "the KV driver's value becomes {string} without an event on its watches",
    function(this: ClientWorld, value: string) {
        this.stored = value;
        this.revision += 1;
    },
);

Then(
    "the KV subscribers received {} within {int} ms of the clock",
    async function(this: ClientWorld, valuesText: string, ms: number) {
        for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
            this.clock.advance(STEP_MS);
            await settlePromises();
        }
        this.receivedValues.forEach(values => deepStrictEqual(values, JSON.parse(valuesText)));
    },
);

Then("the KV driver opened {int} watches in total", async function(this: ClientWorld, count: number) {
    strictEqual(this.openedWatches, count);
    this.subscriptions.forEach(controller => controller.abort());
    await settlePromises();
    await this.client.close();
});

function createScriptedDriver(world: ClientWorld, answers: readonly string[]): KvDriver {
    return {
        get: () => Promise.resolve<KvEntry>({ value: world.stored, revision: world.revision }),
        compareAndSwap() {
            const answer = answers[world.swapCalls] ?? "unsent";
            world.swapCalls += 1;
            return createSwapResult(answer);
        },
        grantLease: () => Promise.reject(createFailure("not_run")),
        keepAlive: () => Promise.resolve(true),
        revokeLease: () => Promise.resolve(),
        async *watch(key, afterRevision, signal) {
            world.openWatches += 1;
            world.openedWatches += 1;
            await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
            world.openWatches -= 1;
            yield { kind: "deleted", revision: afterRevision };
        },
        close: () => Promise.resolve(),
    };
}

function createSwapResult(answer: string): Promise<KvSwapResult> {
    const [kind = "", value = ""] = answer.split(" ");
    switch (kind) {
        case "applied":
            return Promise.resolve({ kind: "applied", revision: 4 });
        case "conflict":
            return Promise.resolve({ kind: "conflict", current: { value, revision: 9 } });
        case "lost":
            return Promise.reject(createFailure("unknown"));
        default:
            return Promise.reject(createFailure("not_run"));
    }
}

function createFailure(outcome: "not_run" | "unknown"): ServeError {
    return new ServeError("no answer", { code: "kv_unavailable", step: "KV call", peer: "driver", outcome });
}

function settlePromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
