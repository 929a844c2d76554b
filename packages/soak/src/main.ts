import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { BASIC_FAULT_KINDS, FAULT_KINDS } from "./planFaults.js";
import { runLoss } from "./runLoss.js";
import type { LossReport } from "./runLoss.js";
import { runSoak } from "./runSoak.js";
import type { SoakReport } from "./runSoak.js";

/** A seed that once failed and is now a regression case. */
interface RegressionSeed {
    readonly seed: number;
    readonly cause: string;
}

const SEEDS_FILE = new URL("../seeds.json", import.meta.url).pathname;
const MS_PER_S = 1000;
/** Upper bound, exclusive, of the seeds that --fresh draws. */
const RANDOM_SEED_RANGE = 2 ** 31;

const args = await yargs(hideBin(process.argv))
    .usage("$0 [options]\n\nRuns real front processes under random faults and checks the guarantees of the platform.")
    .option("run", {
        choices: ["faults", "loss"] as const,
        default: "faults" as const,
        describe: "faults: a random sequence of faults; loss: all hosts are killed within a second after streams began",
    })
    .option("from", { type: "number", default: 1, describe: "first seed" })
    .option("count", { type: "number", default: 1, describe: "number of seeds, run one after the other" })
    .option("fresh", { type: "boolean", default: false, describe: "run random seeds instead" })
    .option("kept", { type: "boolean", default: false, describe: "run the regression seeds of seeds.json" })
    .option("seconds", { type: "number", default: 8, describe: "duration of the faults of each seed" })
    .option("hosts", { type: "number", default: 3 })
    .option("domains", { type: "number", default: 1, describe: "number of failure domains" })
    .option("engines", { type: "number", default: 3, describe: "number of model engines" })
    .option("plain", { type: "number", default: 2, describe: "number of engines of the plain service" })
    .option("versions", { type: "number", default: 2, describe: "versions of the engines' software, side by side" })
    .option("accounts", {
        type: "boolean",
        default: false,
        describe: "clients send keys of accounts, which are taken away and moved, and exceed their limits",
    })
    .option("clients", { type: "number", default: 8 })
    .option("kinds", {
        array: true,
        choices: FAULT_KINDS,
        default: FAULT_KINDS,
        describe: "kinds of faults; --kept runs the ones that its seeds were found with",
    })
    .option("logs", { type: "string", default: ".work/soak", describe: "folder for the logs of failed seeds" })
    .strict()
    .parse();

let failed = 0;
const seeds = await listSeeds();
for (const seed of seeds) {
    const size = {
        seed,
        hosts: args.hosts,
        domains: args.domains,
        modelEngines: args.engines,
        plainEngines: args.plain,
        softwareVersions: args.versions,
        hasAccounts: args.accounts,
    };
    const report = args.run === "loss" ? await runLoss({ ...size, truncatesStreams: false }) : await runSoak({
        ...size,
        lengthMs: args.seconds * MS_PER_S,
        clients: args.clients,
        kinds: args.kept ? BASIC_FAULT_KINDS : args.kinds,
    });
    process.stdout.write(formatReport(report));
    if (report.violations.length > 0) {
        failed += 1;
        await mkdir(args.logs, { recursive: true });
        const trace = ("plan" in report ? report.plan : []).map(planned => JSON.stringify(planned));
        await writeFile(join(args.logs, `${seed}.log`), [...report.violations, ...trace, ...report.logs].join("\n"));
    }
}
process.stdout.write(`${seeds.length - failed} seeds passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);

async function listSeeds(): Promise<readonly number[]> {
    if (args.kept) {
        return (JSON.parse(await readFile(SEEDS_FILE, "utf8")) as readonly RegressionSeed[]).map(entry => entry.seed);
    }
    return Array.from(
        { length: args.count },
        (value, index) => args.fresh ? Math.floor(Math.random() * RANDOM_SEED_RANGE) : args.from + index,
    );
}

function formatReport(report: SoakReport | LossReport): string {
    const { seed, violations } = report;
    const result = violations.length === 0 ? "passed" : "FAILED";
    return `seed ${seed} ${result}: ${summarize(report)}\n${violations.map(line => `  ${line}\n`).join("")}`;
}

function summarize(report: SoakReport | LossReport): string {
    if (!("plan" in report)) {
        return `${report.broken} of ${report.streams} streams broke off after ${Math.round(report.killedAfterMs)} ms`;
    }
    const { plan, sent, answered, refused, unauthenticated, limited, recoveredShare } = report;
    return `${plan.length} faults, ${sent} requests, ${answered} answered, ${refused} refused, `
        + `${unauthenticated} without a valid key, ${limited} over limits, `
        + `${(recoveredShare * 100).toFixed(0)}% answered at the end`;
}
