import { apiSettingsSchema, startApi } from "@fulmarcleat/api";
import type { Api } from "@fulmarcleat/api";
import { commitChange } from "@fulmarcleat/config";
import { createEtcdKv } from "@fulmarcleat/drivers";
import { createEventLog, createMetrics } from "@fulmarcleat/events";
import { gatewaySettingsSchema, startGateway } from "@fulmarcleat/gateway";
import type { Gateway } from "@fulmarcleat/gateway";
import { brandId, createSystemClock } from "@fulmarcleat/ids";
import type { OperatorName } from "@fulmarcleat/ids";
import { createKvClient } from "@fulmarcleat/kv";
import type { KvClient } from "@fulmarcleat/kv";
import type { PolicyDecisions } from "@fulmarcleat/placement";
import { hashSecret, resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import {
    DEFAULT_ENGINE,
    DEFAULT_WEIGHT_LIMITS,
    startEngineStandin,
    startHostListStandin,
    startKvStandin,
    startServiceStandin,
    startWeightStandin,
} from "@fulmarcleat/standin";
import type {
    EngineStandin,
    EngineStandinOptions,
    HostListStandin,
    KvStandin,
    ServiceStandin,
    WeightLimits,
    WeightStandin,
} from "@fulmarcleat/standin";

/** Size and settings of a fleet in one process. */
export interface FleetOptions {
    readonly gateways: number;
    readonly engines: number;
    readonly failureDomains: readonly string[];
    /** Overrides of the default settings of each engine. */
    readonly engine?: Partial<EngineStandinOptions>;
    /** Overrides of the default limits of the weight store. */
    readonly weights?: Partial<WeightLimits>;
    /** Additional settings of each gateway. */
    readonly gateway?: Readonly<Record<string, unknown>>;
    /** Resources to apply at the start, in addition to the upstream of the engines. */
    readonly resources?: readonly unknown[];
    /** Whether the upstream declares that its engines check fencing tokens; "checked" by default. */
    readonly fencing?: "checked" | "ignored";
    /** Whether the configuration contains the engines from the start; true by default. */
    readonly listsEngines?: boolean;
    /** Decisions of the placement policy; those of the gateway by default. */
    readonly decisions?: PolicyDecisions;
}

/** Gateways and stand-ins that run in one process. */
export interface Fleet {
    readonly kv: KvStandin;
    readonly weights: WeightStandin;
    readonly hosts: HostListStandin;
    readonly service: ServiceStandin;
    readonly engines: readonly EngineStandin[];
    readonly gateways: readonly Gateway[];
    readonly kvClient: KvClient;
    readonly failureDomains: readonly string[];
    /** Sequence number of the last accepted change. */
    readonly changes: number;
    /** Commits resources to the configuration, one change each. */
    apply(resources: readonly unknown[]): Promise<void>;
    /** Builds the upstream resource that lists the engines. */
    describeUpstream(changed: { readonly draining: boolean }): unknown;
    /** Starts a further gateway, which is not added to the host list. */
    startGateway(number: number): Promise<Gateway>;
    /** Starts an operator API whose bootstrap token is `FLEET_OPERATOR_TOKEN`. */
    startApi(number: number, settings?: Readonly<Record<string, unknown>>): Promise<Api>;
    stop(): Promise<void>;
}

/** Key by which the processes of a fleet authenticate each other. */
export const FLEET_PEER_KEY = "fleet-in-one-process-peer-key-0123456789";
/** Bootstrap token of the operator API of a fleet. */
export const FLEET_OPERATOR_TOKEN = "fleet-operator-token";
/** Base model that the engines of a fleet serve. */
export const FLEET_BASE_MODEL = "base-13b";

const LOCAL = { host: "127.0.0.1", port: 0 } as const;
const OPERATOR = brandId<OperatorName>("fleet");

/**
 * Starts gateways and stand-ins in one process, on the loopback address.
 *
 * @param options - Size and settings of the fleet
 * @returns the running fleet, whose gateways are ready
 *
 * @example
 * const fleet = await startFleet({ gateways: 2, engines: 3, failureDomains: ["wien-a"] });
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const kv = await startKvStandin(LOCAL);
    const weights = await startWeightStandin(LOCAL, { ...DEFAULT_WEIGHT_LIMITS, ...options.weights });
    const hosts = await startHostListStandin(LOCAL, []);
    const service = await startServiceStandin(LOCAL);
    const engines = await Promise.all(
        listNumbers(options.engines).map(number =>
            startEngineStandin(LOCAL, {
                ...DEFAULT_ENGINE,
                ...options.engine,
                id: `engine-${number}`,
                weightStoreUrl: weights.url,
            })
        ),
    );
    const kvClient = createKvClient({
        driver: createEtcdKv({ url: kv.url, timeoutMs: 2000 }),
        clock: createSystemClock(),
        metrics: createMetrics(),
        log: createEventLog({ process: "fleet", level: 0 }),
        resolveMs: 4000,
    });
    let changes = 0;
    const apply = async (resources: readonly unknown[]): Promise<void> => {
        for (const resource of resources) {
            const checked: Resource = resourceSchema.parse(resource);
            const change = await commitChange(() => ({ kind: "put", resource: checked }), {
                kv: kvClient,
                by: OPERATOR,
                wallMs: Date.now(),
            });
            changes = change.seq;
        }
    };
    await apply([
        ...(options.listsEngines === false ? [] : [describeUpstream(options, engines)]),
        ...options.resources ?? [],
    ]);
    const startOneGateway = (number: number): Promise<Gateway> =>
        startGateway(
            gatewaySettingsSchema.parse({
                host: `entry-${number}`,
                failureDomain: options.failureDomains[(number - 1) % options.failureDomains.length],
                peerKey: FLEET_PEER_KEY,
                callers: LOCAL,
                peers: LOCAL,
                kv: { url: kv.url },
                hostList: { url: hosts.url },
                logLevel: 0,
                helloMs: 200,
                claimMs: 200,
                reportMs: 200,
                ...options.gateway,
            }),
            options.decisions,
        );
    const apis: Api[] = [];
    const gateways: Gateway[] = [];
    const updateHostList = (): void =>
        hosts.setHosts(gateways.map((gateway, index) => ({
            host: gateway.host,
            address: LOCAL.host,
            port: gateway.peerPort,
            failureDomain: options.failureDomains[index % options.failureDomains.length] ?? "",
            state: "live" as const,
        })));
    for (const number of listNumbers(options.gateways)) {
        gateways.push(await startOneGateway(number));
    }
    updateHostList();
    await Promise.all(gateways.map(gateway => gateway.ready));
    return {
        kv,
        weights,
        hosts,
        service,
        engines,
        gateways,
        kvClient,
        failureDomains: options.failureDomains,
        get changes() {
            return changes;
        },
        apply,
        describeUpstream: changed => describeUpstream(options, engines, changed),
        startGateway: startOneGateway,
        async startApi(number, settings = {}) {
            const api = await startApi(apiSettingsSchema.parse({
                host: `api-${number}`,
                peerKey: FLEET_PEER_KEY,
                operators: LOCAL,
                kv: { url: kv.url },
                hostList: { url: hosts.url },
                firstTokenHash: hashSecret(FLEET_OPERATOR_TOKEN),
                logLevel: 0,
                ...settings,
            }));
            apis.push(api);
            await api.ready;
            return api;
        },
        async stop() {
            await Promise.all(apis.map(api => api.stop()));
            await Promise.all(gateways.map(gateway => gateway.stop()));
            await Promise.all([...engines, kv, weights, hosts, service].map(standin => standin.close()));
            await kvClient.close();
        },
    };
}

function listNumbers(count: number): readonly number[] {
    return Array.from({ length: count }, (unused, index) => index + 1);
}

function describeUpstream(
    options: FleetOptions,
    engines: readonly EngineStandin[],
    changed: { readonly draining: boolean } = { draining: false },
): unknown {
    return {
        kind: "Upstream",
        metadata: { name: "model-engines" },
        spec: {
            baseModel: FLEET_BASE_MODEL,
            ...changed,
            fencing: options.fencing ?? "checked",
            engines: engines.map((engine, index) => ({
                id: engine.id,
                url: engine.url,
                failureDomain: options.failureDomains[index % options.failureDomains.length],
            })),
        },
    };
}
