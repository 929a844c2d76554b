import { toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import type { EventLog } from "@fulmarcleat/events";
import { loadSettings } from "@fulmarcleat/settings";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import type { z } from "zod";

/** A program's running part. */
export interface RunningProgram {
    /** Planned stop; resolves once nothing is left to finish. */
    stop(): Promise<void>;
    /** What a stop at its limit would cut off, in words. */
    describeUnfinished(): string;
}

/** One of the project's programs. */
export interface Program<Cfg> {
    /** Name of the command. */
    readonly name: string;
    /** What it is for, for `--help`. */
    readonly description: string;
    readonly schema: z.ZodType<Cfg>;
    readonly start: (cfg: Cfg) => Promise<RunningProgram>;
    /** Longest planned stop, in milliseconds. */
    readonly readStopLimitMs: (cfg: Cfg) => number;
}

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;
const EXIT_CUT = 3;

/**
 * Runs a program: reads its settings, starts it and stops it on SIGTERM or SIGINT.
 *
 * A second signal or the stop limit ends it at once with exit code 3 and an event that says what was cut.
 *
 * @param program - The program
 * @returns nothing
 *
 * @example
 * await runProgram({ name: "fulmarcleat-gateway", ...rest });
 */
export async function runProgram<Cfg>(program: Program<Cfg>): Promise<void> {
    const args = await yargs(hideBin(process.argv))
        .scriptName(program.name)
        .usage(`$0 --settings FILE\n\n${program.description}`)
        .option("settings", { type: "string", demandOption: true, describe: "settings file: JSON with comments" })
        .option("check", { type: "boolean", default: false, describe: "check the settings and exit" })
        .example(
            `$0 --settings examples/vop/${program.name.replace("fulmarcleat-", "")}.jsonc`,
            "start with the VÖP example",
        )
        .strict()
        .parse();
    const log = createEventLog({ process: program.name });
    const cfg = await readSettings(program, args.settings);
    if (cfg === undefined || args.check) {
        process.exitCode = cfg === undefined ? EXIT_SETTINGS : 0;
        return;
    }
    try {
        const running = await program.start(cfg);
        stopOnSignals(running, program.readStopLimitMs(cfg), log);
    }
    catch (err) {
        const failure = toServeError(err, { code: "internal", step: "start", peer: "self", outcome: "not_run" });
        log.write("error", 105, {
            code: failure.code,
            step: failure.step,
            peer: failure.peer,
            message: failure.message,
        });
        process.exit(EXIT_FAILED);
    }
}

async function readSettings<Cfg>(program: Program<Cfg>, file: string): Promise<Cfg | undefined> {
    try {
        return await loadSettings(program.schema, file);
    }
    catch (err) {
        process.stderr.write(
            `${
                toServeError(err, { code: "settings_invalid", step: "read settings", peer: file, outcome: "not_run" })
                    .message
            }\n`,
        );
        return undefined;
    }
}

function stopOnSignals(running: RunningProgram, limitMs: number, log: EventLog): void {
    let isStopping = false;
    const cut = (reason: string): void => {
        log.write("error", 104, { reason, unfinished: running.describeUnfinished() });
        process.exit(EXIT_CUT);
    };
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            cut(`second ${signal}`);
            return;
        }
        isStopping = true;
        setTimeout(() => cut("stop limit"), limitMs).unref();
        running.stop().then(() => process.exit(0), () => cut("stop failed"));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
