import { toServeError } from "@fulmarcleat/errors";
import { RESOURCE_KINDS } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { readFile } from "node:fs/promises";
import type { Argv } from "yargs";
import yargs from "yargs/yargs";
import { createApiClient } from "./createApiClient.js";
import { CTL_EXIT } from "./ctlCommand.js";
import type { CtlContext, CtlExit } from "./ctlCommand.js";
import { readCtlSettings } from "./ctlSettings.js";
import type { CtlEnvironment } from "./ctlSettings.js";
import { parseResourceFile } from "./parseResourceFile.js";
import { runApply, runDelete, runDiff, runDrain, runWait } from "./runChange.js";
import { runExplain, runGet, runList, runShow, runWatch } from "./runRead.js";
import { traceRequest } from "./traceRequest.js";

/** Environment and output of a command line. */
export interface CtlOptions {
    readonly env: CtlEnvironment;
    /** Writes a line of the result to standard output. */
    readonly write: (line: string) => void;
    /** Writes a line of progress or an error to standard error. */
    readonly writeMessage: (line: string) => void;
    /** Ends the command `watch`. */
    readonly signal: AbortSignal;
}

type CommandRunner = (context: CtlContext) => Promise<CtlExit>;

const MS_PER_SECOND = 1000;
const EXIT_TEXT = [
    "Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 conflict,",
    "4 API not reached or outcome unknown, 5 timed out, 6 differences found.",
].join(" ");

/**
 * Parses a command line and runs its command.
 *
 * @param argv - Arguments after the program's name
 * @param options - Environment variables, output and the signal that ends a watch
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runCtl(hideBin(process.argv), options);
 */
export async function runCtl(argv: readonly string[], options: CtlOptions): Promise<CtlExit> {
    let selectedCommand: CommandRunner | undefined;
    const selectCommand = (run: CommandRunner): void => {
        selectedCommand = run;
    };
    try {
        const args = await buildParser(argv, options, selectCommand).parse();
        if (selectedCommand === undefined) {
            return CTL_EXIT.done;
        }
        const client = createApiClient(await readCtlSettings(args.config, options.env));
        try {
            return await selectedCommand({
                client,
                output: args.output,
                write: options.write,
                writeMessage: options.writeMessage,
                nowMs: () => performance.now(),
                sleep: ms => new Promise(resolve => setTimeout(resolve, ms)),
            });
        }
        finally {
            await client.close();
        }
    }
    catch (err) {
        const failure = toServeError(err, {
            code: "bad_request",
            step: "read command",
            peer: "self",
            outcome: "not_run",
        });
        options.writeMessage(failure.message);
        return failure.code === "peer_failed" ? CTL_EXIT.unknown : CTL_EXIT.usage;
    }
}

interface CommonArgs {
    readonly config: string | undefined;
    readonly output: "json" | "table";
}

function buildParser(
    argv: readonly string[],
    options: CtlOptions,
    selectCommand: (run: CommandRunner) => void,
): Argv<CommonArgs> {
    return yargs([...argv])
        .scriptName("fulmarcleatctl")
        .usage("$0 COMMAND\n\nReads and changes the resources of a deployment over the operator API.")
        .option("config", { type: "string", describe: "settings file with server and token" })
        .option("output", {
            alias: "o",
            choices: ["json", "table"] as const,
            default: "table" as const,
            describe: "format of the result",
        })
        .command("apply", "create or replace the resources in a file", withFile, async args => {
            const resources = await readFiles(args.file);
            selectCommand(context => runApply(context, resources, args.dryRun));
        })
        .command("diff", "show how a file differs from the current resources", withFile, async args => {
            const resources = await readFiles(args.file);
            selectCommand(context => runDiff(context, resources));
        })
        .command(
            "get <kind> <name>",
            "show a resource",
            builder =>
                withTarget(builder).option("status", { type: "boolean", default: false, describe: "show its status" }),
            args => selectCommand(context => runGet(context, args, args.status)),
        )
        .command(
            "list <kind>",
            "list the resources of a kind",
            withKind,
            args => selectCommand(context => runList(context, args.kind)),
        )
        .command(
            "watch [kind]",
            "print changes as they are accepted",
            builder =>
                builder
                    .positional("kind", { choices: RESOURCE_KINDS })
                    .option("after", { type: "number", describe: "print changes after this resourceVersion" }),
            args => selectCommand(context => runWatch(context, args.kind, args.after, options.signal)),
        )
        .command(
            "delete <kind> <name>",
            "delete a resource",
            withTarget,
            args => selectCommand(context => runDelete(context, args)),
        )
        .command(
            "drain <kind> <name>",
            "stop sending new requests to an Upstream or Service",
            builder =>
                withTarget(builder).positional("kind", {
                    choices: ["Upstream", "Service"] as const,
                    demandOption: true,
                }),
            args => selectCommand(context => runDrain(context, args)),
        )
        .command(
            "trace <id> <files..>",
            "trace a request through collected log files",
            builder =>
                builder
                    .positional("id", { type: "string", demandOption: true, describe: "the request's id" })
                    .positional("files", { type: "string", array: true, demandOption: true, describe: "log files" }),
            async args => {
                const texts = await Promise.all(args.files.map(file => readFile(file, "utf8")));
                const lines = traceRequest(texts, args.id);
                lines.forEach(line => options.write(line));
                if (lines.length === 0) {
                    options.writeMessage(`request ${args.id} does not appear in these files`);
                }
            },
        )
        .command("wait [kind] [name]", "wait until a change is in force on every live host", builder =>
            builder
                .positional("kind", { choices: RESOURCE_KINDS })
                .positional("name", { type: "string" })
                .option("for", { choices: ["in-force"] as const, default: "in-force" as const })
                .option("timeout", { type: "number", default: 30, describe: "longest wait in seconds" }), args => {
            const { kind, name } = args;
            const target = kind === undefined || name === undefined ? undefined : { kind, name };
            selectCommand(context => runWait(context, target, args.timeout * MS_PER_SECOND));
        })
        .command(
            "explain <about> <value>",
            "show the hosts' decisions about a request or an adapter",
            builder =>
                builder
                    .positional("about", { choices: ["request", "adapter"] as const, demandOption: true })
                    .positional("value", { type: "string", demandOption: true }),
            args => selectCommand(context => runExplain(context, args.about, args.value)),
        )
        .command(
            "history [kind] [name]",
            "show who changed what and when",
            builder => builder.positional("kind", { choices: RESOURCE_KINDS }).positional("name", { type: "string" }),
            args => {
                const path = args.kind === undefined || args.name === undefined
                    ? "history"
                    : `${args.kind}/${args.name}/history`;
                selectCommand(context => runShow(context, path));
            },
        )
        .command(
            "status",
            "show every host and the configuration in force on it",
            {},
            () => selectCommand(context => runShow(context, "status")),
        )
        .demandCommand(1, "a command is required")
        .epilogue(EXIT_TEXT)
        .strict()
        .version(false)
        .exitProcess(false)
        .fail((message, err) => {
            throw err ?? new Error(message);
        });
}

function withFile<T>(builder: Argv<T>) {
    return builder
        .option("file", {
            alias: "f",
            type: "string",
            array: true,
            demandOption: true,
            describe: "file of resources in JSON with comments",
        })
        .option("dry-run", { type: "boolean", default: false, describe: "validate the changes without applying them" });
}

function withKind<T>(builder: Argv<T>) {
    return builder.positional("kind", { choices: RESOURCE_KINDS, demandOption: true });
}

function withTarget<T>(builder: Argv<T>) {
    return withKind<T>(builder).positional("name", { type: "string", demandOption: true });
}

async function readFiles(files: readonly string[]): Promise<readonly Resource[]> {
    const texts = await Promise.all(files.map(async file => parseResourceFile(await readFile(file, "utf8"), file)));
    return texts.flat();
}
