import { commitChange } from "@fulmarcleat/config";
import { FLEET_BASE_MODEL, startFleet, startGatewayWorker } from "@fulmarcleat/fleet";
import type { Fleet } from "@fulmarcleat/fleet";
import { brandId } from "@fulmarcleat/ids";
import type { OperatorName } from "@fulmarcleat/ids";
import { hashSecret, resourceSchema } from "@fulmarcleat/resources";

const HOST_COUNT = 3;
const ENGINE_COUNT = 3;
const FAILURE_DOMAINS = ["esbjerg", "fredericia", "herning"];
const PEER_KEY = "fault-run-peer-key-0123456789abcdef";
const CALLER_KEY = "key-of-lab";
/** Duration of an owner's lease, in milliseconds. */
const LEASE_MS = 1000;
/** How long an owner is paused, in milliseconds; long enough for its lease to expire. */
const PAUSE_MS = 3 * LEASE_MS;
const ADAPTER_COUNT = 8;
/** Concurrent changes of the contended offer's default version. */
const CONCURRENT_CHANGES = 4;

/** Names a fault that a run can inject. */
export type FaultName =
    | "kv down"
    | "lost replies"
    | "paused owner"
    | "engine restart"
    | "load failures"
    | "silent connections"
    | "host gone"
    | "conflicting operators";

/** Controls gateways in worker threads with stand-in engines and services, and injects faults into them. */
export interface FaultFleet {
    /** Stand-ins and key-value service. */
    readonly fleet: Fleet;
    /** Caller addresses of the gateways. */
    readonly urls: readonly string[];
    /** Bearer key of the only caller. */
    readonly callerKey: string;
    /** Adapter versions that requests are sent for. */
    readonly models: readonly string[];
    /** Starts a fault. */
    inject(fault: FaultName): Promise<void>;
    /** Ends a fault; no effect for faults that end by themselves. */
    heal(fault: FaultName): Promise<void>;
    /** Resolves once every gateway has every accepted change. */
    configReached(): Promise<void>;
    /** Default versions of the contended offer in the order in which they were accepted. */
    readonly acceptedDefaultVersions: readonly string[];
    /** Stops the gateways and the stand-ins. */
    stop(): Promise<void>;
}

/**
 * Starts the gateways and stand-ins of a fault run.
 *
 * @param fencing - Whether the engines check fencing tokens
 * @returns the running fleet
 *
 * @example
 * const faults = await startFaultFleet("ignored");
 */
export async function startFaultFleet(fencing: "checked" | "ignored"): Promise<FaultFleet> {
    const fleet = await startFleet({
        gateways: 0,
        engines: ENGINE_COUNT,
        failureDomains: FAILURE_DOMAINS,
        fencing,
        engine: { adapterPlaces: 3, batchSlots: 4, tokenMs: 4, checksFences: fencing === "checked" },
        weights: { loadMs: 20, startsPerSecond: undefined },
        resources: describeResources(),
    });
    const workers = await Promise.all(
        Array.from({ length: HOST_COUNT }, (unused, index) => startGatewayWorker(createSettings(fleet, index))),
    );
    const publishHosts = (): void =>
        fleet.hosts.setHosts(workers.map((worker, index) => ({
            host: formatHostName(index),
            address: "127.0.0.1",
            port: worker.peerPort,
            failureDomain: FAILURE_DOMAINS[index] ?? "",
            state: "live" as const,
        })));
    publishHosts();
    await Promise.all(workers.map(worker => worker.ready));
    const accepted: { readonly seq: number; readonly version: string }[] = [];
    let lastSeq = fleet.changes;
    const raceOperators = async (): Promise<void> => {
        const changes = Array.from(
            { length: CONCURRENT_CHANGES },
            (unused, index) => commitDefaultVersion(fleet, `${index % 2 + 1}`, `operator-${index}`),
        );
        for (const change of await Promise.allSettled(changes)) {
            if (change.status === "fulfilled") {
                accepted.push(change.value);
                lastSeq = Math.max(lastSeq, change.value.seq);
            }
        }
    };
    const inject = async (fault: FaultName): Promise<void> => {
        switch (fault) {
            case "kv down":
                fleet.kv.setFaults({ down: true });
                return;
            case "lost replies":
                fleet.kv.setFaults({ loseReplies: 4 });
                return;
            case "paused owner":
                void workers[1]?.pause(PAUSE_MS).catch(() => undefined);
                return;
            case "engine restart":
                fleet.engines[0]?.setFaults({ restart: true });
                return;
            case "load failures":
                fleet.weights.setFaults({ failNext: 3 });
                return;
            case "silent connections":
                fleet.engines.forEach(engine => engine.setFaults({ silence: true }));
                fleet.kv.silenceConnections();
                return;
            case "host gone":
                await workers[2]?.kill();
                return;
            case "conflicting operators":
                await raceOperators();
                return;
        }
    };
    const heal = async (fault: FaultName): Promise<void> => {
        switch (fault) {
            case "kv down":
                fleet.kv.setFaults({ down: false });
                return;
            case "lost replies":
                fleet.kv.setFaults({ loseReplies: 0 });
                return;
            case "load failures":
                fleet.weights.setFaults({ failNext: 0 });
                return;
            case "host gone":
                workers[2] = await startGatewayWorker(createSettings(fleet, 2));
                publishHosts();
                return;
            case "paused owner":
            case "engine restart":
            case "silent connections":
            case "conflicting operators":
                return;
        }
    };
    return {
        fleet,
        get urls() {
            return workers.map(worker => worker.url);
        },
        callerKey: CALLER_KEY,
        models: listModels(),
        inject,
        heal,
        configReached: async () => {
            await Promise.all(workers.map(worker => worker.configReached(lastSeq)));
        },
        get acceptedDefaultVersions() {
            return [...accepted].sort((a, b) => a.seq - b.seq).map(change => change.version);
        },
        async stop() {
            await Promise.all(workers.map(worker => worker.stop()));
            await fleet.stop();
        },
    };
}

/** Name of the adapter and offer that several operators change concurrently. */
export const CONTENDED_ADAPTER = "raced";

function formatHostName(index: number): string {
    return `entry-${index + 1}`;
}

function listModels(): readonly string[] {
    return Array.from({ length: ADAPTER_COUNT }, (unused, index) => `dga-${index + 1}@1`);
}

function createSettings(fleet: Fleet, index: number): Readonly<Record<string, unknown>> {
    return {
        host: formatHostName(index),
        failureDomain: FAILURE_DOMAINS[index],
        peerKey: PEER_KEY,
        callers: { host: "127.0.0.1", port: 0 },
        peers: { host: "127.0.0.1", port: 0 },
        kv: { url: fleet.kv.url, timeoutMs: 400 },
        hostList: { url: fleet.hosts.url, timeoutMs: 400 },
        helloMs: 200,
        silenceMs: 1000,
        leaseMs: LEASE_MS,
        claimMs: 200,
        reportMs: 100,
        orderMs: 1000,
        connectTimeoutMs: 300,
        openTimeoutMs: 1000,
        streamSilenceMs: 1000,
        logLevel: 0,
    };
}

function describeResources(): readonly unknown[] {
    const models = [...listModels(), `${CONTENDED_ADAPTER}@1`].map(model => model.split("@")[0] ?? "");
    const versions = ["1", "2"];
    return [
        {
            kind: "Policy",
            metadata: { name: "policy" },
            spec: { maxRequestMs: 4000, storeLoadsPerSecond: 100, engineAdapterPlaces: 3, engineBatchSlots: 4 },
        },
        { kind: "Caller", metadata: { name: "lab" }, spec: { keyHashes: [hashSecret(CALLER_KEY)] } },
        ...models.flatMap(name => [
            {
                kind: "Adapter",
                metadata: { name },
                spec: {
                    baseModel: FLEET_BASE_MODEL,
                    versions: versions.map(version => ({ version, weights: `${name}/${version}` })),
                },
            },
            describeOffer(name, "1"),
        ]),
    ];
}

function describeOffer(name: string, defaultVersion: string): unknown {
    return {
        kind: "Offer",
        metadata: { name },
        spec: { adapter: name, versions: ["1", "2"], defaultVersion, callers: ["lab"], priority: "normal" },
    };
}

async function commitDefaultVersion(
    fleet: Fleet,
    version: string,
    operator: string,
): Promise<{ readonly seq: number; readonly version: string }> {
    const resource = resourceSchema.parse(describeOffer(CONTENDED_ADAPTER, version));
    const change = await commitChange(() => ({ kind: "put", resource }), {
        kv: fleet.kvClient,
        by: brandId<OperatorName>(operator),
        wallMs: 0,
    });
    return { seq: change.seq, version };
}
