import type {
    AdapterName,
    AdapterVersion,
    BaseModel,
    CallerName,
    EngineId,
    FailureDomain,
    UpstreamName,
} from "@fulmarcleat/ids";
import { listResources, readResource } from "@fulmarcleat/resources";
import type { ConfigSnapshot, Priority, ResourceOf } from "@fulmarcleat/resources";

/** One engine as the configuration names it. */
export interface ConfiguredEngine {
    readonly engine: EngineId;
    readonly upstream: UpstreamName;
    readonly url: string;
    readonly failureDomain: FailureDomain;
    readonly fencing: "checked" | "ignored";
    readonly draining: boolean;
}

/** An adapter's version that is offered to a caller. */
export interface OfferedVersion {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    readonly weights: string;
    readonly baseModel: BaseModel;
    readonly priority: Priority;
}

/** The configuration, arranged for the path of a request. */
export interface OfferIndex {
    /** The caller whose key has this hash. */
    findCaller(keyHash: string): ResourceOf<"Caller"> | undefined;
    hasAdapter(adapter: AdapterName): boolean;
    /** Offers of an adapter to a caller. */
    findOffers(caller: CallerName, adapter: AdapterName): readonly ResourceOf<"Offer">[];
    listOffered(caller: CallerName): readonly ResourceOf<"Offer">[];
    findAdapter(adapter: AdapterName): ResourceOf<"Adapter"> | undefined;
    listEngines(baseModel: BaseModel): readonly ConfiguredEngine[];
    readonly engines: readonly ConfiguredEngine[];
    findService(name: string): ResourceOf<"Service"> | undefined;
}

/**
 * Arranges a configuration for the path of a request.
 *
 * @param snapshot - The configuration in force
 * @returns the index
 *
 * @example
 * const index = buildOfferIndex(config.snapshot);
 */
export function buildOfferIndex(snapshot: ConfigSnapshot): OfferIndex {
    const callers = new Map<string, ResourceOf<"Caller">>();
    const offersByAdapter = new Map<string, ResourceOf<"Offer">[]>();
    const offers = listResources(snapshot, "Offer");
    const enginesByBase = new Map<string, ConfiguredEngine[]>();
    listResources(snapshot, "Caller").forEach(caller =>
        caller.spec.keyHashes.forEach(hash => callers.set(hash, caller))
    );
    offers.forEach(offer => push(offersByAdapter, offer.spec.adapter, offer));
    for (const upstream of listResources(snapshot, "Upstream")) {
        listUpstreamEngines(upstream).forEach(engine => push(enginesByBase, upstream.spec.baseModel, engine));
    }
    return {
        findCaller: keyHash => callers.get(keyHash),
        hasAdapter: adapter => readResource(snapshot, "Adapter", adapter) !== undefined,
        findOffers: (caller, adapter) =>
            (offersByAdapter.get(adapter) ?? []).filter(offer => offer.spec.callers.includes(caller)),
        listOffered: caller => offers.filter(offer => offer.spec.callers.includes(caller)),
        findAdapter: adapter => readResource(snapshot, "Adapter", adapter),
        listEngines: baseModel => enginesByBase.get(baseModel) ?? [],
        engines: [...enginesByBase.values()].flat(),
        findService: name => readResource(snapshot, "Service", name),
    };
}

function listUpstreamEngines(upstream: ResourceOf<"Upstream">): readonly ConfiguredEngine[] {
    return upstream.spec.engines.map(engine => ({
        engine: engine.id,
        upstream: upstream.metadata.name as UpstreamName,
        url: engine.url,
        failureDomain: engine.failureDomain,
        fencing: upstream.spec.fencing,
        draining: upstream.spec.draining,
    }));
}

function push<T>(map: Map<string, T[]>, key: string, value: T): void {
    const list = map.get(key);
    if (list === undefined) {
        map.set(key, [value]);
        return;
    }
    list.push(value);
}
