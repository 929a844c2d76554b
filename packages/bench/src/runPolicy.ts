import { startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { setTimeout as wait } from "node:timers/promises";
import { Agent } from "undici";
import { createPolicyDecisions } from "./createPolicyDecisions.js";
import type { RunPolicyName } from "./createPolicyDecisions.js";
import { createTrace } from "./createTrace.js";
import type { TraceRequest } from "./createTrace.js";
import type { Deployment } from "./deployment.js";
import { describeResources, formatCallerKey } from "./describeResources.js";
import { planScenario } from "./scenario.js";
import type { ScenarioName } from "./scenario.js";
import { sendRequest } from "./sendRequest.js";
import type { BenchAnswer } from "./sendRequest.js";
import { summarizeRun } from "./summarizeRun.js";
import type { PolicyFigures } from "./summarizeRun.js";

/** One run of the bench. */
export interface RunOptions {
    readonly scenario: ScenarioName;
    readonly deployment: Deployment;
    readonly policy: RunPolicyName;
    readonly seed: number;
    readonly seconds: number;
    readonly warmSeconds: number;
}

/** Adapter versions, each with weights of its own. */
const MODELS = 3000;
const CALLERS = 8;
const MS_PER_SECOND = 1000;
const DEADLINE_MS = 60_000;
const WARM_STORE = { startsPerSecond: 200, loadMs: 20 } as const;
const STORE = { startsPerSecond: 2, loadMs: 250 } as const;
const WARM_REQUESTS_PER_SECOND = 50;
const WARM_TOKENS = { urgent: 2, normal: 2, bulk: 2 } as const;
/** Pause between warm-up and trace, in milliseconds. */
const SETTLE_MS = 1000;
const WARM_SEED = 1_000_003;

/**
 * Makes the trace of a run.
 *
 * @param options - Scenario, deployment and seed
 * @returns the requests
 *
 * @example
 * const trace = createRunTrace(options);
 */
export function createRunTrace(options: Omit<RunOptions, "policy">): readonly TraceRequest[] {
    const { deployment, seed, seconds } = options;
    const { trace } = planScenario(options.scenario, seconds * MS_PER_SECOND);
    return createTrace({ ...deployment, ...trace, seed, seconds, models: MODELS, callers: CALLERS });
}

/**
 * Plays a trace against gateways and stand-ins in this process, after a warm-up with a fast weight store.
 *
 * @param options - Scenario, deployment, policy and seed
 * @returns the figures
 *
 * @example
 * const figures = await runPolicy(options);
 */
export async function runPolicy(options: RunOptions): Promise<PolicyFigures> {
    const { deployment, seconds } = options;
    const fleet = await startFleet({
        ...deployment,
        engine: { tokenMs: deployment.tokenMs },
        weights: WARM_STORE,
        decisions: createPolicyDecisions(options.policy),
        resources: describeResources(MODELS, CALLERS),
    });
    const dispatcher = new Agent({ connections: 512 });
    try {
        await applyPolicy(fleet, WARM_STORE.startsPerSecond);
        await play(fleet, dispatcher, createWarmTrace(options));
        await applyPolicy(fleet, STORE.startsPerSecond);
        fleet.weights.setLimits(STORE);
        await wait(SETTLE_MS);
        const trace = createRunTrace(options);
        const fromMs = performance.now();
        const { steps } = planScenario(options.scenario, seconds * MS_PER_SECOND);
        const [answers] = await Promise.all([
            play(fleet, dispatcher, trace),
            ...steps.map(async step => {
                await wait(step.atMs);
                await step.run(fleet);
            }),
        ]);
        return summarizeRun({
            trace,
            answers,
            engines: fleet.engines.map(engine => engine.record()),
            fromMs,
            toMs: fromMs + seconds * MS_PER_SECOND,
            tokenMs: deployment.tokenMs,
        });
    }
    finally {
        await dispatcher.destroy();
        await fleet.stop();
    }
}

function createWarmTrace(options: RunOptions): readonly TraceRequest[] {
    return createTrace({
        ...options.deployment,
        seed: options.seed + WARM_SEED,
        seconds: options.warmSeconds,
        models: MODELS,
        callers: CALLERS,
        requestsPerSecond: WARM_REQUESTS_PER_SECOND,
        tokens: WARM_TOKENS,
        shiftAtMs: undefined,
        flood: undefined,
    }).map(request => ({ ...request, index: -1 - request.index }));
}

async function applyPolicy(fleet: Fleet, storeLoadsPerSecond: number): Promise<void> {
    await fleet.apply([{
        kind: "Policy",
        metadata: { name: "bench" },
        spec: { storeLoadsPerSecond, queueLimit: 2048, callerQueueLimit: 1024 },
    }]);
    await Promise.all(fleet.gateways.map(gateway => gateway.configReached(fleet.changes)));
}

function play(fleet: Fleet, dispatcher: Agent, trace: readonly TraceRequest[]): Promise<readonly BenchAnswer[]> {
    return Promise.all(trace.map(async request => {
        await wait(request.atMs);
        const gateway = fleet.gateways[request.gateway % fleet.gateways.length];
        return sendRequest(request, {
            dispatcher,
            origin: gateway?.url ?? "",
            key: formatCallerKey(request.caller),
            deadlineMs: DEADLINE_MS,
        });
    }));
}
