import { writeFile } from "node:fs/promises";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import { driveLoad } from "./driveLoad.js";

const EXIT_WRONG_ANSWER = 1;
const EXIT_CUT_OFF = 3;

const args = await yargs(hideBin(process.argv))
    .scriptName("fulmarcleat-load")
    .usage(
        "$0 --url URL --key KEY --model NAME@VERSION\n\nSends requests to gateways at a fixed rate, checks that every answer is complete and exact, and writes a JSON result. It expects the answers of the engines of fulmarcleat-standin.",
    )
    .option("url", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "address of a gateway (may be repeated)",
    })
    .option("key", { type: "string", demandOption: true, describe: "bearer key of the caller" })
    .option("model", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "adapter@version, the most frequent first (may be repeated)",
    })
    .option("zipf", {
        type: "number",
        default: 1,
        describe: "exponent of the Zipf distribution of models; 0 is uniform",
    })
    .option("requests-per-second", { type: "number", default: 10, describe: "requests per second" })
    .option("seconds", { type: "number", default: 10, describe: "duration of the run, in seconds" })
    .option("seed", { type: "number", default: 1, describe: "seed of the random choices" })
    .option("urgent-share", { type: "number", default: 0.5, describe: "share of urgent requests; the rest is bulk" })
    .option("urgent-tokens", { type: "number", default: 8, describe: "tokens per urgent answer" })
    .option("bulk-tokens", { type: "number", default: 64, describe: "tokens per bulk answer" })
    .option("deadline-ms", { type: "number", default: 30_000, describe: "deadline of each request, in milliseconds" })
    .option("output", { type: "string", describe: "file for the result; standard output by default" })
    .epilogue(
        "Signals: SIGTERM or SIGINT stops sending and waits for requests in flight; a second signal exits immediately.\nExit codes: 0 every answer was complete or a typed error, 1 an answer was wrong or an option is invalid, 3 cut off.",
    )
    .strict()
    .parse();

const stopController = new AbortController();
function stop(): void {
    if (stopController.signal.aborted) {
        process.exit(EXIT_CUT_OFF);
    }
    stopController.abort();
}
process.on("SIGTERM", stop);
process.on("SIGINT", stop);

const result = await driveLoad({
    urls: args.url,
    key: args.key,
    models: args.model,
    zipfExponent: args.zipf,
    requestsPerSecond: args["requests-per-second"],
    seconds: args.seconds,
    seed: args.seed,
    classes: [
        { priority: "urgent", share: args["urgent-share"], tokens: args["urgent-tokens"] },
        { priority: "bulk", share: 1 - args["urgent-share"], tokens: args["bulk-tokens"] },
    ],
    deadlineMs: args["deadline-ms"],
}, stopController.signal);
const text = `${JSON.stringify(result, undefined, 4)}\n`;
if (args.output === undefined) {
    process.stdout.write(text);
}
else {
    await writeFile(args.output, text);
}
process.exitCode = result.wrong === 0 ? 0 : EXIT_WRONG_ANSWER;
