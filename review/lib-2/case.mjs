// Runs a case: writes its record, judges, and ends everything that it started.
import { writeFileSync, appendFileSync } from "node:fs";
import { makeFolder, removeFolder } from "./fleet.mjs";

/** A case ends after this time at the latest, in milliseconds. */
const LIMIT_MS = 115_000;
const EXIT = { held: 0, broken: 1, failed: 2 };

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. `play` returns whether
 * the rule was broken, and a line on what was counted.
 */
export async function runCase(file, play) {
    const startedMs = performance.now();
    const closers = [];
    writeFileSync(file, "");
    const record = text => appendFileSync(file, `${((performance.now() - startedMs) / 1000).toFixed(3)} ${text}\n`);
    const folder = await makeFolder();
    let status = EXIT.failed;
    const limit = new Promise((resolve, reject) =>
        setTimeout(() => reject(new Error("the case takes too long")), LIMIT_MS).unref());
    const stopped = new Promise((resolve, reject) => {
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.once(signal, () => reject(new Error(`stopped by ${signal}`)));
        }
    });
    try {
        const context = { record, folder, hasTrouble: process.env.TROUBLE !== "0", onClose: close => void closers.unshift(close) };
        const { isBroken, summary } = await Promise.race([play(context), limit, stopped]);
        status = isBroken ? EXIT.broken : EXIT.held;
        record(`${isBroken ? "BROKEN" : "held"}: ${summary}`);
        console.log(`${isBroken ? "BROKEN" : "held"}: ${summary}`);
    }
    catch (err) {
        record(`could not run: ${err.stack}`);
        console.log(`could not run: ${err.message}`);
    }
    for (const close of closers) {
        await Promise.resolve(close()).catch(() => undefined);
    }
    await removeFolder(folder);
    process.exit(status);
}
