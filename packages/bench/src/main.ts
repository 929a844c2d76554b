import { writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { computeStallBound } from "./computeStallBound.js";
import { RUN_POLICY_NAMES } from "./createPolicyDecisions.js";
import type { RunPolicyName } from "./createPolicyDecisions.js";
import { DEPLOYMENTS } from "./deployment.js";
import type { DeploymentName } from "./deployment.js";
import { renderReport } from "./renderReport.js";
import type { BenchResult } from "./renderReport.js";
import { createRunTrace, runPolicy } from "./runPolicy.js";
import { SCENARIO_NAMES } from "./scenario.js";

/** Default length of the warm-up, in seconds. */
const DEFAULT_WARM_UP_SECONDS = 8;
/** Name of the calculated policy that knows the whole trace. */
const CLAIRVOYANT_POLICY = "clairvoyant";

const args = await yargs(hideBin(process.argv)).scriptName("bench").strict().options({
    scenario: { choices: SCENARIO_NAMES, demandOption: true },
    deployment: { choices: Object.keys(DEPLOYMENTS) as DeploymentName[], default: "vop" as const },
    policy: { type: "string", default: "fulmarcleat", describe: "comma-separated policy names" },
    seed: { type: "number", default: 1 },
    seconds: { type: "number", default: 20 },
    warm: { type: "number", default: DEFAULT_WARM_UP_SECONDS, describe: "seconds of warm-up with a fast weight store" },
    json: { type: "string", demandOption: true },
    report: { type: "string" },
}).parse();

const policies: Record<string, BenchResult["policies"][string]> = {};
const loadBefore = loadavg()[0];
const options = { ...args, deployment: DEPLOYMENTS[args.deployment], warmSeconds: args.warm };
for (const name of args.policy.split(",")) {
    if (name === CLAIRVOYANT_POLICY) {
        policies[name] = computeStallBound(createRunTrace(options), options);
        continue;
    }
    const policy = RUN_POLICY_NAMES.find((known): known is RunPolicyName => known === name);
    if (policy === undefined) {
        throw new Error(
            `unknown policy ${name}, must be one of ${[...RUN_POLICY_NAMES, CLAIRVOYANT_POLICY].join(", ")}`,
        );
    }
    policies[name] = await runPolicy({ ...options, policy });
}
const result: BenchResult = {
    scenario: args.scenario,
    deployment: options.deployment,
    seed: args.seed,
    seconds: args.seconds,
    machineLoad: { before: loadBefore ?? 0, after: loadavg()[0] ?? 0 },
    policies,
};
await writeFile(args.json, JSON.stringify(result, undefined, 2));
if (args.report !== undefined) {
    await writeFile(args.report, await renderReport(result));
}
