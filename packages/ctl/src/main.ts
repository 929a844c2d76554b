import { hideBin } from "yargs/helpers";
import { runCtl } from "./runCtl.js";

const interrupted = new AbortController();
process.on("SIGINT", () => {
    interrupted.abort();
    process.exit(0);
});
process.exitCode = await runCtl(hideBin(process.argv), {
    env: process.env,
    write: line => process.stdout.write(`${line}\n`),
    writeMessage: line => process.stderr.write(`${line}\n`),
    signal: interrupted.signal,
});
