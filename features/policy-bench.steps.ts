import { DEPLOYMENTS, runPolicy, SCENARIO_NAMES } from "@fulmarcleat/bench";
import type { PolicyFigures, RunPolicyName } from "@fulmarcleat/bench";
import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { World } from "@fulmarcleat/testing";
import "./fleetWorld.js";

const RUN_SECONDS = 3;
const WARM_UP_SECONDS = 1;

interface BenchmarkWorld extends World {
    figures: PolicyFigures | undefined;
}

When(
    "the benchmark runs {string} on {string} with {string} and seed {int}",
    async function(
        this: BenchmarkWorld,
        name: string,
        deployment: keyof typeof DEPLOYMENTS,
        policy: RunPolicyName,
        seed: number,
    ) {
        const scenario = SCENARIO_NAMES.find(known => known === name);
        ok(scenario !== undefined);
        this.figures = await runPolicy({
            scenario,
            deployment: DEPLOYMENTS[deployment],
            policy,
            seed,
            seconds: RUN_SECONDS,
            warmSeconds: WARM_UP_SECONDS,
        });
    },
);

Then(
    "the benchmark counts no wrong adapter, no eviction in use, no double run and no truncated answer",
    function(this: BenchmarkWorld) {
        const { figures } = this;
        ok(figures !== undefined);
        ok(figures.served > 0, `none of ${figures.requests} requests was served`);
        strictEqual(figures.wrongAdapter, 0);
        strictEqual(figures.evictedInUse, 0);
        strictEqual(figures.doubleRuns, 0);
        strictEqual(figures.truncatedAnswers, 0);
    },
);
