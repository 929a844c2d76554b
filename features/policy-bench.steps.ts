import { DEPLOYMENTS, runPolicy, SCENARIO_NAMES } from "@fulmarcleat/bench";
import type { PolicyFigures, RunPolicyName } from "@fulmarcleat/bench";
import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { World } from "@fulmarcleat/testing";
import "./fleetWorld.js";

const SECONDS = 3;
const WARM_SECONDS = 1;

interface BenchWorld extends World {
    figures: PolicyFigures | undefined;
}

When(
    "the bench plays {string} on {string} with {string} and seed {int}",
    async function(
        this: BenchWorld,
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
            seconds: SECONDS,
            warmSeconds: WARM_SECONDS,
        });
    },
);

Then(
    "the bench counts no wrong adapter, no eviction in use, no double run and no cut answer",
    function(this: BenchWorld) {
        const { figures } = this;
        ok(figures !== undefined);
        ok(figures.served > 0, `none of ${figures.requests} requests was served`);
        strictEqual(figures.wrongAdapter, 0);
        strictEqual(figures.evictedInUse, 0);
        strictEqual(figures.doubleRuns, 0);
        strictEqual(figures.truncatedAnswers, 0);
    },
);
