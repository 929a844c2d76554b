import { createWriteStream } from "node:fs";

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
/** Longest time of a case, in milliseconds. */
const LIMIT_MS = 115_000;

/**
 * Runs a case: writes its record to a file, closes what it started, and exits with its result. `body` gets the record, a
 * list of things to close, and whether the disruption is to come.
 */
export async function runCase(recordFile, body) {
    const startedMs = performance.now();
    const file = createWriteStream(recordFile);
    const isTroubled = process.env.TROUBLE !== "0";
    const closers = [];
    const record = (kind, fields = {}) => {
        const at = ((performance.now() - startedMs) / 1000).toFixed(3);
        const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
        file.write(`${at} ${kind} ${text}\n`);
    };
    let isOver = false;
    const finish = async (code, reason) => {
        if (isOver) {
            return;
        }
        isOver = true;
        record("result", { code, reason });
        process.stdout.write(`${reason}\n`);
        await Promise.all(closers.reverse().map(close => close()));
        await new Promise(resolve => file.end(resolve));
        process.exit(code);
    };
    const limit = setTimeout(() => void finish(NOT_RUN, "the case took too long"), LIMIT_MS);
    limit.unref();
    ["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => void finish(NOT_RUN, `ended by ${signal}`)));
    ["uncaughtException", "unhandledRejection"].forEach(event =>
        process.on(event, err => void finish(NOT_RUN, `the case could not run: ${err?.stack ?? err}`))
    );
    try {
        const { code, reason } = await body({ record, closers, isTroubled });
        clearTimeout(limit);
        await finish(code, reason);
    }
    catch (err) {
        await finish(NOT_RUN, `the case could not run: ${err.stack}`);
    }
}

/** Waits for a time. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
