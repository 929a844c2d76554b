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

/** The command's surroundings. */
export interface CtlSurroundings {
    readonly env: CtlEnvironment;
    readonly write: (line: string) => void;
    readonly tell: (line: string) => void;
    /** Ends a watch. */
    readonly signal: AbortSignal;
}

type Run = (context: CtlContext) => Promise<CtlExit>;

const MS_PER_SECOND = 1000;
const EXIT_TEXT = [
    "Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 conflict,",
    "4 API not reached or outcome unknown, 5 timed out, 6 differences found.",
].join(" ");

/**
 * Runs one command line.
 *
 * @param argv - Arguments after the program's name
 * @param surroundings - Environment and output
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runCtl(hideBin(process.argv), surroundings);
 */
export async function runCtl(argv: readonly string[], surroundings: CtlSurroundings): Promise<CtlExit> {
    let chosen: Run | undefined;
    const choose = (run: Run): void => {
        chosen = run;
    };
    try {
        const args = await buildParser(argv, surroundings, choose).parse();
        if (chosen === undefined) {
            return CTL_EXIT.done;
        }
        const client = createApiClient(await readCtlSettings(args.config, surroundings.env));
        try {
            return await chosen({
                client,
                output: args.output,
                write: surroundings.write,
                tell: surroundings.tell,
                nowMs: () => performance.now(),
                pause: ms => new Promise(resolve => setTimeout(resolve, ms)),
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
        surroundings.tell(failure.message);
        return failure.code === "peer_failed" ? CTL_EXIT.unknown : CTL_EXIT.usage;
    }
}

interface CommonArgs {
    readonly config: string | undefined;
    readonly output: "json" | "table";
}

function buildParser(
    argv: readonly string[],
    surroundings: CtlSurroundings,
    choose: (run: Run) => void,
): Argv<CommonArgs> {
    return yargs([...argv])
        .scriptName("fulmarcleatctl")
        .usage("$0 COMMAND\n\nReads and changes the resources of a deployment over the operators' API.")
        .option("config", { type: "string", describe: "settings file with server and token" })
        .option("output", {
            alias: "o",
            choices: ["json", "table"] as const,
            default: "table" as const,
            describe: "form of the result",
        })
        .command("apply", "create or replace the resources of a file", withFile, async args => {
            const resources = await readFiles(args.file);
            choose(context => runApply(context, resources, args.dryRun));
        })
        .command("diff", "show how a file differs from what is in place", withFile, async args => {
            const resources = await readFiles(args.file);
            choose(context => runDiff(context, resources));
        })
        .command(
            "get <kind> <name>",
            "show a resource",
            builder =>
                withTarget(builder).option("status", { type: "boolean", default: false, describe: "show its status" }),
            args => choose(context => runGet(context, args, args.status)),
        )
        .command(
            "list <kind>",
            "list the resources of a kind",
            withKind,
            args => choose(context => runList(context, args.kind)),
        )
        .command(
            "watch [kind]",
            "print changes as they are accepted",
            builder =>
                builder
                    .positional("kind", { choices: RESOURCE_KINDS })
                    .option("after", { type: "number", describe: "last resourceVersion that is known" }),
            args => choose(context => runWatch(context, args.kind, args.after, surroundings.signal)),
        )
        .command(
            "delete <kind> <name>",
            "delete a resource",
            withTarget,
            args => choose(context => runDelete(context, args)),
        )
        .command(
            "drain <kind> <name>",
            "give an Upstream or Service no new work",
            builder =>
                withTarget(builder).positional("kind", {
                    choices: ["Upstream", "Service"] as const,
                    demandOption: true,
                }),
            args => choose(context => runDrain(context, args)),
        )
        .command(
            "trace <id> <files..>",
            "show a request's way from collected log files",
            builder =>
                builder
                    .positional("id", { type: "string", demandOption: true, describe: "the request's id" })
                    .positional("files", { type: "string", array: true, demandOption: true, describe: "log files" }),
            async args => {
                const texts = await Promise.all(args.files.map(file => readFile(file, "utf8")));
                const lines = traceRequest(texts, args.id);
                lines.forEach(line => surroundings.write(line));
                if (lines.length === 0) {
                    surroundings.tell(`no line of these files names request ${args.id}`);
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
            choose(context => runWait(context, target, args.timeout * MS_PER_SECOND));
        })
        .command(
            "explain <about> <value>",
            "show what the hosts decided",
            builder =>
                builder
                    .positional("about", { choices: ["request", "adapter"] as const, demandOption: true })
                    .positional("value", { type: "string", demandOption: true }),
            args => choose(context => runExplain(context, args.about, args.value)),
        )
        .command(
            "history [kind] [name]",
            "show who changed what and when",
            builder => builder.positional("kind", { choices: RESOURCE_KINDS }).positional("name", { type: "string" }),
            args => {
                const path = args.kind === undefined || args.name === undefined
                    ? "history"
                    : `${args.kind}/${args.name}/history`;
                choose(context => runShow(context, path));
            },
        )
        .command(
            "status",
            "show every host and what it has in force",
            {},
            () => choose(context => runShow(context, "status")),
        )
        .demandCommand(1, "name a command")
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
            describe: "file of resources: JSON with comments",
        })
        .option("dry-run", { type: "boolean", default: false, describe: "check only" });
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
