import { toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import { describeSettings, loadSettings } from "@fulmarcleat/settings";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import type { z } from "zod";
import type { RunningProgram } from "./runningProgram.js";
import { stopOnSignals } from "./stopOnSignals.js";

/** Definition of one of the project's programs. */
export interface Program<Cfg> {
    /** Command name. */
    readonly name: string;
    /** Purpose of the program, shown by `--help`. */
    readonly description: string;
    /** Schema of the settings file. */
    readonly schema: z.ZodType<Cfg>;
    /** Starts the program with validated settings. */
    readonly start: (cfg: Cfg) => Promise<RunningProgram>;
    /** Reads the time limit of a graceful stop from the settings, in milliseconds. */
    readonly readStopLimitMs: (cfg: Cfg) => number;
}

/** Exit code of a program that could not start. */
const EXIT_FAILED = 1;
/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2;

/**
 * Runs a program: reads its settings, starts it, and stops it gracefully on SIGTERM or SIGINT.
 *
 * A second signal or the stop limit ends it immediately with exit code 3 and logs the unfinished work.
 *
 * @param program - Name, settings schema and start function of the program
 * @returns a promise that resolves once the program has started, or after `--check` or invalid settings
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
            `$0 --settings examples/vop/${program.name.replace("fulmarcleat-", "")}-1.jsonc`,
            "start with the VÖP example",
        )
        .epilogue(formatHelp(program))
        .strict()
        .parse();
    const log = createEventLog({ process: program.name });
    const cfg = await readSettings(program, args.settings);
    if (cfg === undefined || args.check) {
        process.exitCode = cfg === undefined ? EXIT_INVALID_SETTINGS : 0;
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

function formatHelp<Cfg>(program: Program<Cfg>): string {
    const keys = describeSettings(program.schema).map(entry => {
        const rule = entry.byDefault === undefined ? entry.required ? "required" : "optional" : entry.byDefault;
        return `  ${entry.key.padEnd(KEY_WIDTH)}${entry.allowed} (${rule})`;
    });
    return [
        "Settings with their allowed values (and default, or whether the key is required):",
        ...keys,
        "",
        "Signals: SIGTERM or SIGINT stops the program after running work has finished; a second signal, or the limit stopLimitMs, ends it immediately.",
        "Exit codes: 0 stopped, 1 could not start, 2 invalid settings, 3 ended before running work had finished.",
        "More: docs/OPERATIONS.md",
    ].join("\n");
}

/** Width of the key column in the help text, in characters. */
const KEY_WIDTH = 24;

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
