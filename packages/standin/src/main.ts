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

/** A running stand-in of any kind. */
interface Standin {
    readonly url: string;
    /** Waits until no request is in flight; only for kinds that track requests in flight. */
    drain?(): Promise<void>;
    close(): Promise<void>;
}

/** Longest duration of a stop, in milliseconds. */
const STOP_TIMEOUT_MS = 60_000;

async function runStandin(starting: Promise<Standin>): Promise<void> {
    const standin = await starting;
    process.stdout.write(`${standin.url}\n`);
    const running = {
        async stop(): Promise<void> {
            await standin.drain?.();
            await standin.close();
        },
        describeUnfinished: () => "requests in flight at the stand-in",
    };
    stopOnSignals(running, STOP_TIMEOUT_MS, createEventLog({ process: "standin" }));
}

function parseAddress(listen: string): StandinAddress {
    const colon = listen.lastIndexOf(":");
    return { host: listen.slice(0, colon), port: Number(listen.slice(colon + 1)) };
}

function parseHost(text: string): StandinHost {
    const [host = "", address = "", port = "", failureDomain = ""] = text.split(",");
    return { host, address, port: Number(port), failureDomain, state: "live" };
}

const listen = { type: "string", default: "127.0.0.1:0", describe: "HOST:PORT to listen on" } as const;

await yargs(hideBin(process.argv))
    .scriptName("fulmarcleat-standin")
    .usage(
        "$0 KIND\n\nStarts a small stand-in for one of the systems around the gateways and prints its address. POST /faults sets its faults, GET /record shows what it recorded.",
    )
    .epilogue([
        "Faults, sent as JSON to POST /faults:",
        "  every kind  down, delayMs, silence (open connections stop responding, new ones work)",
        "  kv          loseReplies, loseRequests (of the next writes), lapseLeases",
        "  weights     failNext, stallMs",
        "  hosts       lagMs",
        "  engine      checksFences, failLoads, stallLoadMs, reportLagMs, loseReports, dropCacheEvents, cacheEventLagMs,",
        "              cutStreamsAfterTokens, canResume, restart (restarts without adapters), leaving, echoInstance",
        "  service     loseReplies",
        "Signals: SIGTERM or SIGINT stops it; an engine completes its requests in flight first. Exit codes: 0 stopped, 3 cut off.",
    ].join("\n"))
    .command(
        "kv",
        "key-value service (a subset of etcd's v3 JSON gateway)",
        builder => builder.option("listen", listen),
        args => runStandin(startKvStandin(parseAddress(args.listen))),
    )
    .command(
        "weights",
        "weight store",
        builder =>
            builder.option("listen", listen).option("starts-per-second", {
                type: "number",
                default: 2,
                describe: "number of loads that may start per second",
            }),
        args =>
            runStandin(
                startWeightStandin(parseAddress(args.listen), {
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
        args => runStandin(startHostListStandin(parseAddress(args.listen), args.host.map(parseHost))),
    )
    .command(
        "engine",
        "model engine",
        builder =>
            builder
                .option("listen", listen)
                .option("id", { type: "string", demandOption: true, describe: "id of the engine" })
                .option("weights", { type: "string", demandOption: true, describe: "address of the weight store" })
                .option("batch-slots", {
                    type: "number",
                    default: DEFAULT_ENGINE.batchSlots,
                    describe: "number of batch slots",
                })
                .option("adapter-places", {
                    type: "number",
                    default: DEFAULT_ENGINE.adapterPlaces,
                    describe: "number of adapter slots",
                })
                .option("token-ms", {
                    type: "number",
                    default: DEFAULT_ENGINE.tokenMs,
                    describe: "time per token, in milliseconds",
                })
                .option("checks-fences", {
                    type: "boolean",
                    default: DEFAULT_ENGINE.checksFences,
                    describe: "refuse orders with an old fencing token",
                }),
        args =>
            runStandin(startEngineStandin(parseAddress(args.listen), {
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
        args => runStandin(startServiceStandin(parseAddress(args.listen))),
    )
    .demandCommand(1, "name the kind of stand-in to start")
    .strict()
    .parse();
