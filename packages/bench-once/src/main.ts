import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import { runOnceBench } from "./runOnceBench.js";

const args = await yargs(hideBin(process.argv))
    .scriptName("bench:once")
    .usage("$0\n\nSends keyed requests over several gateways while faults are injected; prints JSON.")
    .option("requests", { type: "number", default: 10_000, describe: "keyed requests to send" })
    .option("gateways", { type: "number", default: 3, describe: "gateways" })
    .option("engines", { type: "number", default: 3, describe: "engine stand-ins" })
    .option("concurrency", { type: "number", default: 32, describe: "requests in flight at the same time" })
    .option("seed", { type: "number", default: 7, describe: "seed of keys and faults" })
    .option("fault-every", { type: "number", default: 200, describe: "requests between two faults; 0 for none" })
    .option("repeat-share", { type: "number", default: 0.3, describe: "share of requests that repeat a key" })
    .option("partitions", { type: "number", default: 64, describe: "partitions among which the keys are divided" })
    .strict()
    .parseAsync();
const result = await runOnceBench({
    requests: args.requests,
    gateways: args.gateways,
    engines: args.engines,
    concurrency: args.concurrency,
    seed: args.seed,
    faultEvery: args.faultEvery,
    repeatShare: args.repeatShare,
    partitions: args.partitions,
});
process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
process.exitCode = result.maxRunsPerKey > 1 || result.falseNotRun > 0 || result.falseRan > 0 ? 1 : 0;
