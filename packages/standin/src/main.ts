import { createEventLog } from "@fulmarcleat/events";
import { stopOnSignals } from "@fulmarcleat/program";
import { hideBin } from "yargs/helpers";
import yargs from "yargs/yargs";
import { DEFAULT_ENGINE, startEngineStandin } from "./startEngineStandin.js";
import { startHostListStandin } from "./startHostListStandin.js";
import type { StandinHost } from "./startHostListStandin.js";
import { startKvStandin } from "./startKvStandin.js";
import type { StandinAddress } from "./startKvStandin.js";
import { startServiceStandin } from "./startServiceStandin.js";
import { DEFAULT_WEIGHT_LIMITS, startWeightStandin } from "./startWeightStandin.js";

interface Standin {
    readonly url: string;
    /** Waits until nothing runs, where the kind has running work. */
    drain?(): Promise<void>;
    close(): Promise<void>;
}

const STOP_LIMIT_MS = 60_000;

async function serve(starting: Promise<Standin>): Promise<void> {
    const standin = await starting;
    process.stdout.write(`${standin.url}\n`);
    const running = {
        async stop(): Promise<void> {
            await standin.drain?.();
            await standin.close();
        },
        describeUnfinished: () => "calls of the stand-in",
    };
    stopOnSignals(running, STOP_LIMIT_MS, createEventLog({ process: "standin" }));
}

function readAddress(listen: string): StandinAddress {
    const colon = listen.lastIndexOf(":");
    return { host: listen.slice(0, colon), port: Number(listen.slice(colon + 1)) };
}

function readHost(text: string): StandinHost {
    const [host = "", address = "", port = "", failureDomain = ""] = text.split(",");
    return { host, address, port: Number(port), failureDomain, state: "live" };
}

const listen = { type: "string", default: "127.0.0.1:0", describe: "HOST:PORT to listen on" } as const;

await yargs(hideBin(process.argv))
    .scriptName("fulmarcleat-standin")
    .usage(
        "$0 KIND\n\nStarts a small stand-in for one of the platform's parts and prints its address. POST /faults sets its faults, GET /record shows what it saw.",
    )
    .epilogue([
        "Faults, as JSON to POST /faults:",
        "  every kind  down, delayMs, silence (open connections fall silent, new ones work)",
        "  kv          loseReplies, loseRequests (of the next writes), lapseLeases",
        "  weights     failNext, stallMs",
        "  hosts       lagMs",
        "  engine      checksFences, failLoads, stallLoadMs, reportLagMs, loseReports, dropCacheEvents, cacheEventLagMs,",
        "              cutStreamsAfterTokens, canResume, restart (comes back empty), leaving, echoInstance",
        "  service     loseReplies",
        "Signals: SIGTERM or SIGINT stops it; an engine finishes its running requests first. Exit codes: 0 stopped, 3 cut.",
    ].join("\n"))
    .command(
        "kv",
        "key-value service (a part of etcd's v3 JSON gateway)",
        builder => builder.option("listen", listen),
        args => serve(startKvStandin(readAddress(args.listen))),
    )
    .command(
        "weights",
        "weight store",
        builder =>
            builder.option("listen", listen).option("starts-per-second", {
                type: "number",
                default: 2,
                describe: "load starts a second",
            }),
        args =>
            serve(
                startWeightStandin(readAddress(args.listen), {
                    ...DEFAULT_WEIGHT_LIMITS,
                    startsPerSecond: args.startsPerSecond,
                }),
            ),
    )
    .command(
        "hosts",
        "host list",
        builder =>
            builder.option("listen", listen).option("host", {
                type: "string",
                array: true,
                default: [],
                describe: "a host: NAME,ADDRESS,PORT,FAILURE-DOMAIN (may be repeated)",
            }),
        args => serve(startHostListStandin(readAddress(args.listen), args.host.map(readHost))),
    )
    .command(
        "engine",
        "model engine",
        builder =>
            builder
                .option("listen", listen)
                .option("id", { type: "string", demandOption: true, describe: "the engine's id" })
                .option("weights", { type: "string", demandOption: true, describe: "address of the weight store" })
                .option("batch-slots", {
                    type: "number",
                    default: DEFAULT_ENGINE.batchSlots,
                    describe: "places in the batch",
                })
                .option("adapter-places", {
                    type: "number",
                    default: DEFAULT_ENGINE.adapterPlaces,
                    describe: "adapters loaded at once",
                })
                .option("token-ms", {
                    type: "number",
                    default: DEFAULT_ENGINE.tokenMs,
                    describe: "time of one token, in milliseconds",
                })
                .option("checks-fences", {
                    type: "boolean",
                    default: DEFAULT_ENGINE.checksFences,
                    describe: "refuse orders with an old fencing number",
                }),
        args =>
            serve(startEngineStandin(readAddress(args.listen), {
                id: args.id,
                weightStoreUrl: args.weights,
                batchSlots: args.batchSlots,
                adapterPlaces: args.adapterPlaces,
                tokenMs: args.tokenMs,
                checksFences: args.checksFences,
                keepStreamMs: DEFAULT_ENGINE.keepStreamMs,
            })),
    )
    .command(
        "service",
        "plain service",
        builder => builder.option("listen", listen),
        args => serve(startServiceStandin(readAddress(args.listen))),
    )
    .demandCommand(1, "name a kind")
    .strict()
    .parse();
