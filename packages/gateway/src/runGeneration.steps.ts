import type { EngineDriver, EngineToken } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import { createEventLog, createMetrics } from "@fulmarcleat/events";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type {
    AdapterName,
    AdapterVersion,
    BaseModel,
    CallerName,
    EngineId,
    InstanceName,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import { After, deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { HeldPlace, PlaceRequirements, PlaceRouter } from "./createPlaceRouter.js";
import type { AnswerSink, Generation } from "./generation.js";
import { runGeneration } from "./runGeneration.js";

const INSTANCE = brandId<InstanceName>("levy@7#1");

class Fakes {
    readonly engineBehaviors = new Map<string, string>();
    readonly metrics = createMetrics();
    startedRuns: string[] = [];
    cancelledRuns: string[] = [];
    tokensRead = 0;
    delivered: string[] = [];
    failure: ServeError | undefined;
    ended: Promise<void> = Promise.resolve();
    readonly controller = new AbortController();
}

let fakes = new Fakes();

Given(
    "runGeneration has engine {string} that {} and engine {string} that {}",
    function(first: string, firstBehavior: string, second: string, secondBehavior: string) {
        fakes = new Fakes();
        fakes.engineBehaviors.set(first, firstBehavior).set(second, secondBehavior);
    },
);

When("runGeneration requests {int} tokens", (tokens: number) => run(tokens, undefined, createSink(tokens)));
When("runGeneration requests {int} tokens with a key", (tokens: number) => run(tokens, "k1", createSink(tokens)));

When(
    "runGeneration requests {int} tokens for a caller that reads {int} tokens and stops",
    async (tokens: number, readCount: number) => {
        fakes.ended = run(tokens, undefined, createSink(readCount));
        const isReading = (): boolean => fakes.delivered.length <= readCount;
        while (isReading()) {
            await new Promise(resolve => setImmediate(resolve));
        }
    },
);

Then(
    "runGeneration delivered {string} from {string} after {int} retry for {string}",
    (tokens: string, engine: string, retries: number, reason: string) => {
        strictEqual(fakes.failure, undefined);
        deepStrictEqual(fakes.delivered, tokens.split(" "));
        strictEqual(fakes.startedRuns.at(-1), engine);
        strictEqual(fakes.metrics.read("requests_run_again_total", { reason }), retries);
    },
);

Then("runGeneration cancelled the run on {string}", (engine: string) => deepStrictEqual(fakes.cancelledRuns, [engine]));

Then("runGeneration failed with {string} and {string}", (code: string, outcome: string) => {
    deepStrictEqual([fakes.failure?.code, fakes.failure?.outcome], [code, outcome]);
});

Then("runGeneration started {int} run(s)", (runs: number) => strictEqual(fakes.startedRuns.length, runs));

Then("runGeneration read at most {int} tokens from the engine", (tokens: number) => {
    ok(fakes.tokensRead <= tokens, `read ${fakes.tokensRead}`);
});

After(() => fakes.controller.abort());

async function run(tokens: number, key: string | undefined, sink: AnswerSink): Promise<void> {
    const { metrics } = fakes;
    const generation = createGeneration(tokens, key);
    try {
        await runGeneration(generation, sink, {
            router: createRouter(),
            findEngine: createEngine,
            clock: createManualClock(0),
            metrics,
            log: createEventLog({ process: "test", level: 0 }),
            recordStep: () => undefined,
            claim: () => Promise.resolve(),
            signal: fakes.controller.signal,
        });
    }
    catch (err) {
        fakes.failure = err as ServeError;
    }
}

function createGeneration(tokens: number, key: string | undefined): Generation {
    return {
        requestId: brandId<RequestId>("r1"),
        caller: brandId<CallerName>("linz"),
        offered: {
            adapter: brandId<AdapterName>("levy"),
            version: brandId<AdapterVersion>("7"),
            weights: "levy/7",
            baseModel: brandId<BaseModel>("base"),
            priority: "normal",
        },
        priority: "normal",
        input: { kind: "text", prompt: "count" },
        sampling: { temperature: undefined, topP: undefined, seed: undefined, stop: undefined },
        maxTokens: tokens,
        deadlineMs: 1_000_000,
        key,
        requestHash: "hash",
    };
}

function createRouter(): PlaceRouter {
    return {
        acquire(requirements: PlaceRequirements): Promise<HeldPlace> {
            const engine = [...fakes.engineBehaviors.keys()].map(name => brandId<EngineId>(name)).find(name =>
                !requirements.avoid.includes(name)
            );
            if (engine === undefined) {
                const details = { code: "queue_full", step: "find place", peer: "self", outcome: "not_run" } as const;
                return Promise.reject(new ServeError("no engine is left", details));
            }
            const place = brandId<PlaceId>(`place-${engine}`);
            return Promise.resolve({
                place,
                engine,
                instance: INSTANCE,
                fence: 1,
                startByMs: 1000,
                reuseKey: "",
                reuseMs: 0,
                loadStallMs: 0,
            });
        },
        release: () => undefined,
        mayStart: () => true,
        describeHeld: () => ({ places: [] }),
        heldCount: 0,
    } as unknown as PlaceRouter;
}

function createEngine(engine: EngineId): EngineDriver {
    const behavior = fakes.engineBehaviors.get(engine) ?? "";
    return {
        openStream(req: { readonly maxTokens: number }) {
            if (behavior === "refuses") {
                return Promise.resolve({ kind: "refused", reason: "not_loaded", message: "" });
            }
            fakes.startedRuns.push(engine);
            const breakAfter = /breaks after (\d+)/.exec(behavior)?.[1];
            return Promise.resolve({ kind: "accepted", tokens: emit(req.maxTokens, Number(breakAfter ?? Infinity)) });
        },
        resumeStream: () => Promise.resolve({ kind: "refused", reason: "not_loaded", message: "" }),
        cancelStream() {
            fakes.cancelledRuns.push(engine);
            return Promise.resolve();
        },
    } as unknown as EngineDriver;
}

async function* emit(tokens: number, breakAfter: number): AsyncGenerator<EngineToken> {
    for (let index = 0; index < Math.min(tokens, breakAfter); index += 1) {
        fakes.tokensRead += 1;
        await Promise.resolve();
        const finishReason = index + 1 === tokens ? "length" : undefined;
        yield { index, text: String(index), instance: INSTANCE, finishReason };
    }
}

function createSink(limit: number): AnswerSink {
    return {
        write(text) {
            fakes.delivered.push(text);
            return fakes.delivered.length > limit ? new Promise<void>(() => undefined) : undefined;
        },
        finish: () => Promise.resolve(),
        discard() {
            fakes.delivered = [];
        },
        started: false,
    };
}
