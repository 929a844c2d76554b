import { fileURLToPath } from "node:url";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import { runDemo } from "./runDemo.js";

const args = await yargs(hideBin(process.argv))
    .scriptName("npm run demo --")
    .usage(
        "$0 [--keep]\n\nRuns the VÖP example in one process with stand-ins for the platform, and prints each step and its result.",
    )
    .option("keep", { type: "boolean", default: false, describe: "keep running and print a request to try" })
    .strict()
    .parse();

const demo = await runDemo({
    resourcesFile: fileURLToPath(new URL("../../../examples/vop/resources.jsonc", import.meta.url)),
    print: line => process.stdout.write(`${line}\n`),
});

async function finish(): Promise<never> {
    await demo.stop();
    process.stdout.write(demo.failures.length === 0 ? "\nDone.\n" : `\nFailed: ${demo.failures.join("; ")}\n`);
    process.exit(demo.failures.length === 0 ? 0 : 1);
}

if (args.keep) {
    process.stdout.write(
        [
            "\nRunning. Try, from another terminal:",
            `curl -N ${demo.gatewayUrl}/v1/completions -H 'authorization: Bearer centre-staff-key' -d '{"model":"lookup-linz@3","prompt":"Visitors today?","max_tokens":8,"stream":true}'`,
            "Stop with Ctrl-C.\n",
        ].join("\n"),
    );
    process.on("SIGINT", () => void finish());
    process.on("SIGTERM", () => void finish());
}
else {
    await finish();
}
