import { toServeError } from "@fulmarcleat/errors";
import { createEventLog } from "@fulmarcleat/events";
import { describeSettings, loadSettings } from "@fulmarcleat/settings";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import type { z } from "zod";
import type { RunningProgram } from "./runningProgram.js";
import { stopOnSignals } from "./stopOnSignals.js";

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
            `$0 --settings examples/vop/${program.name.replace("fulmarcleat-", "")}-1.jsonc`,
            "start with the VÖP example",
        )
        .epilogue(formatHelp(program))
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

function formatHelp<Cfg>(program: Program<Cfg>): string {
    const keys = describeSettings(program.schema).map(entry => {
        const rule = entry.byDefault === undefined ? entry.required ? "required" : "may be left out" : entry.byDefault;
        return `  ${entry.key.padEnd(KEY_WIDTH)}${entry.allowed} (${rule})`;
    });
    return [
        "Settings, with what is allowed (and the value where the key is absent):",
        ...keys,
        "",
        "Signals: SIGTERM or SIGINT stops it and lets running work finish; a second one, or the limit stopLimitMs, ends it at once.",
        "Exit codes: 0 stopped, 1 could not start, 2 settings not allowed, 3 ended before running work had finished.",
        "More: docs/OPERATIONS.md",
    ].join("\n");
}

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
