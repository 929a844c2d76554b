import { startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { setTimeout as sleep } from "node:timers/promises";
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

/** Configures one run of the benchmark. */
export interface RunOptions {
    readonly scenario: ScenarioName;
    readonly deployment: Deployment;
    readonly policy: RunPolicyName;
    readonly seed: number;
    /** Length of the measured trace, in seconds. */
    readonly seconds: number;
    /** Length of the warm-up, in seconds. */
    readonly warmSeconds: number;
}

/** Number of adapter versions, each with its own weights. */
const MODEL_COUNT = 3000;
const CALLER_COUNT = 8;
const MS_PER_SECOND = 1000;
/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 60_000;
/** Limits of the weight store during the warm-up. */
const WARM_UP_STORE_LIMITS = { startsPerSecond: 200, loadMs: 20 } as const;
/** Limits of the weight store during the measured trace. */
const STORE_LIMITS = { startsPerSecond: 2, loadMs: 250 } as const;
const WARM_UP_REQUESTS_PER_SECOND = 50;
const WARM_UP_TOKENS = { urgent: 2, normal: 2, bulk: 2 } as const;
/** Pause between warm-up and trace, in milliseconds. */
const SETTLE_MS = 1000;
/** Offset of the warm-up's seed from the run's seed. */
const WARM_UP_SEED_OFFSET = 1_000_003;

/**
 * Creates the trace of a run.
 *
 * @param options - Scenario, deployment, seed and length
 * @returns the requests in the order in which they are sent
 *
 * @example
 * const trace = createRunTrace(options);
 */
export function createRunTrace(options: Omit<RunOptions, "policy">): readonly TraceRequest[] {
    const { deployment, seed, seconds } = options;
    const { trace } = planScenario(options.scenario, seconds * MS_PER_SECOND);
    return createTrace({ ...deployment, ...trace, seed, seconds, models: MODEL_COUNT, callers: CALLER_COUNT });
}

/**
 * Sends a trace to gateways with stand-in engines in this process, after a warm-up with a fast weight store.
 *
 * @param options - Scenario, deployment, policy and seed
 * @returns the figures of the measured trace
 *
 * @example
 * const figures = await runPolicy(options);
 */
export async function runPolicy(options: RunOptions): Promise<PolicyFigures> {
    const { deployment, seconds } = options;
    const fleet = await startFleet({
        ...deployment,
        engine: { tokenMs: deployment.tokenMs },
        weights: WARM_UP_STORE_LIMITS,
        decisions: createPolicyDecisions(options.policy),
        resources: describeResources(MODEL_COUNT, CALLER_COUNT),
    });
    const dispatcher = new Agent({ connections: 512 });
    try {
        await applyPolicy(fleet, WARM_UP_STORE_LIMITS.startsPerSecond);
        await sendTrace(fleet, dispatcher, createWarmUpTrace(options));
        await applyPolicy(fleet, STORE_LIMITS.startsPerSecond);
        fleet.weights.setLimits(STORE_LIMITS);
        await sleep(SETTLE_MS);
        const trace = createRunTrace(options);
        const fromMs = performance.now();
        const { steps } = planScenario(options.scenario, seconds * MS_PER_SECOND);
        const [answers] = await Promise.all([
            sendTrace(fleet, dispatcher, trace),
            ...steps.map(async step => {
                await sleep(step.atMs);
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

function createWarmUpTrace(options: RunOptions): readonly TraceRequest[] {
    return createTrace({
        ...options.deployment,
        seed: options.seed + WARM_UP_SEED_OFFSET,
        seconds: options.warmSeconds,
        models: MODEL_COUNT,
        callers: CALLER_COUNT,
        requestsPerSecond: WARM_UP_REQUESTS_PER_SECOND,
        tokens: WARM_UP_TOKENS,
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

function sendTrace(fleet: Fleet, dispatcher: Agent, trace: readonly TraceRequest[]): Promise<readonly BenchAnswer[]> {
    return Promise.all(trace.map(async request => {
        await sleep(request.atMs);
        const gateway = fleet.gateways[request.gateway % fleet.gateways.length];
        return sendRequest(request, {
            dispatcher,
            origin: gateway?.url ?? "",
            key: formatCallerKey(request.caller),
            deadlineMs: DEADLINE_MS,
        });
    }));
}
