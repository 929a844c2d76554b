import { FLEET_BASE_MODEL, startFleet } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { createRandom } from "@fulmarcleat/ids";
import type { Random } from "@fulmarcleat/ids";
import { hashSecret } from "@fulmarcleat/resources";
import { countOutcomes } from "./countOutcomes.js";
import type { KeyedAnswer, OutcomeCount } from "./countOutcomes.js";
import { injectFault } from "./injectFault.js";

/** Configures a run. */
export interface OnceBenchOptions {
    readonly requests: number;
    readonly gateways: number;
    readonly engines: number;
    /** Requests in flight at the same time. */
    readonly concurrency: number;
    readonly seed: number;
    /** Requests between two faults; 0 injects none. */
    readonly faultEvery: number;
    /** Share of requests that repeat an earlier key. */
    readonly repeatShare: number;
    /** Partitions among which the keys are divided. */
    readonly partitions: number;
}

/** Holds the results of a run. */
export interface OnceBenchResult extends OutcomeCount {
    readonly options: OnceBenchOptions;
    /** How often each fault was injected. */
    readonly faults: Readonly<Record<string, number>>;
    /** Calls of the gateways to the key-value service, by purpose and kind. */
    readonly kvCalls: Readonly<Record<string, number>>;
    /** Calls to the key-value service for claims, per request. */
    readonly claimCallsPerRequest: number;
    /** Bytes written to the key-value service for claims, per request. */
    readonly claimBytesPerRequest: number;
}

const CALLER = "linz";
const CALLER_KEY = "key-of-linz";
const MODEL = "levy@7";
const TOKENS = 2;
/** A repeated request uses one of this many preceding keys. */
const RECENT_KEYS = 64;
const PURPOSES = ["claim", "config", "owner", "session", "probe"] as const;
const KINDS = ["get", "swap", "watch", "grant", "keepalive", "revoke"] as const;

/**
 * Sends keyed requests through several gateways while faults are injected, and counts answers and runs.
 *
 * @param options - Size, seed and fault rate
 * @returns the counts, also of the calls to the key-value service
 *
 * @example
 * const result = await runOnceBench(options);
 */
export async function runOnceBench(options: OnceBenchOptions): Promise<OnceBenchResult> {
    const fleet = await startBenchFleet(options);
    const random = createRandom(options.seed);
    const answers: KeyedAnswer[] = [];
    const faults: Record<string, number> = {};
    let sent = 0;
    const runWorker = async (): Promise<void> => {
        while (sent < options.requests) {
            const number = sent;
            sent += 1;
            if (options.faultEvery > 0 && number % options.faultEvery === options.faultEvery - 1) {
                const fault = injectFault(fleet, random);
                faults[fault] = (faults[fault] ?? 0) + 1;
            }
            answers.push(await sendKeyedRequest(fleet, chooseKey(number, options, random), random));
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, () => runWorker()));
    fleet.kv.setFaults({ down: false, delayMs: 0, loseReplies: 0, loseRequests: 0 });
    const runs = fleet.engines.flatMap(engine => engine.record().runs).map(run => ({
        requestId: run.requestId,
        key: run.prompt,
    }));
    const kvCalls = sumKvCalls(fleet);
    const claimCalls = Object.entries(kvCalls).filter(([name]) => name.startsWith("claim ")).reduce(
        (sum, [, count]) => sum + count,
        0,
    );
    const claimBytes = fleet.gateways.reduce(
        (sum, gateway) => sum + gateway.metrics.read("claim_written_bytes_total"),
        0,
    );
    await fleet.stop();
    return {
        options,
        ...countOutcomes(answers, runs),
        faults,
        kvCalls,
        claimCallsPerRequest: claimCalls / answers.length,
        claimBytesPerRequest: Math.round(claimBytes / answers.length),
    };
}

async function startBenchFleet(options: OnceBenchOptions): Promise<Fleet> {
    const fleet = await startFleet({
        gateways: options.gateways,
        engines: options.engines,
        failureDomains: ["wien-a", "wien-b", "linz-c"],
        engine: { tokenMs: 1, batchSlots: 256 },
        gateway: { streamSilenceMs: 1500, keyed: { partitions: options.partitions } },
        resources: [
            {
                kind: "Policy",
                metadata: { name: "policy" },
                spec: { queueLimit: 10_000, callerQueueLimit: 10_000, engineBatchSlots: 256 },
            },
            {
                kind: "Adapter",
                metadata: { name: "levy" },
                spec: { baseModel: FLEET_BASE_MODEL, versions: [{ version: "7", weights: "levy/7" }] },
            },
            { kind: "Caller", metadata: { name: CALLER }, spec: { keyHashes: [hashSecret(CALLER_KEY)] } },
            {
                kind: "Offer",
                metadata: { name: "levy-linz" },
                spec: { adapter: "levy", versions: ["7"], callers: [CALLER], priority: "urgent" },
            },
        ],
    });
    await Promise.all(fleet.gateways.map(gateway => gateway.configReached(fleet.changes)));
    return fleet;
}

function chooseKey(number: number, options: OnceBenchOptions, random: Random): string {
    const isRepeat = number > 0 && random.next() < options.repeatShare;
    const distance = isRepeat ? 1 + Math.floor(random.next() * Math.min(number, RECENT_KEYS)) : 0;
    return `invoice-${number - distance}`;
}

async function sendKeyedRequest(fleet: Fleet, key: string, random: Random): Promise<KeyedAnswer> {
    const gateway = fleet.gateways[Math.floor(random.next() * fleet.gateways.length)];
    const res = await fetch(`${gateway?.url}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${CALLER_KEY}`, "idempotency-key": key },
        body: JSON.stringify({ model: MODEL, prompt: key, max_tokens: TOKENS }),
    });
    const text = await res.text();
    const requestId = res.headers.get("x-request-id") ?? "";
    if (res.status === 200) {
        const name = res.headers.get("fulmarcleat-replay") === "true" ? "replay" : "whole";
        return { requestId, key, name, outcome: "ran" };
    }
    const { error } = JSON.parse(text) as { readonly error: { code: string; outcome: KeyedAnswer["outcome"] } };
    return { requestId, key, name: error.code, outcome: error.outcome };
}

function sumKvCalls(fleet: Fleet): Record<string, number> {
    const calls: Record<string, number> = {};
    for (const purpose of PURPOSES) {
        for (const kind of KINDS) {
            const count = fleet.gateways.reduce(
                (sum, gateway) => sum + gateway.metrics.read("kv_calls_total", { purpose, kind }),
                0,
            );
            if (count > 0) {
                calls[`${purpose} ${kind}`] = count;
            }
        }
    }
    return calls;
}
