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
import type {
    ConfigChange,
    ConfigSnapshot,
    Priority,
    Resource,
    ResourceKind,
    ResourceOf,
} from "@fulmarcleat/resources";

/** An engine as listed in an upstream of the configuration. */
export interface ConfiguredEngine {
    readonly engine: EngineId;
    readonly upstream: UpstreamName;
    readonly url: string;
    readonly failureDomain: FailureDomain;
    /** Whether the engine checks the fencing tokens of load orders. */
    readonly fencing: "checked" | "ignored";
    /** Whether the upstream is draining and gets no new requests. */
    readonly draining: boolean;
}

/** An adapter version that an operator offers to a caller. */
export interface OfferedVersion {
    readonly adapter: AdapterName;
    readonly version: AdapterVersion;
    /** Name of the weights to load. */
    readonly weights: string;
    readonly baseModel: BaseModel;
    /** Highest priority class of requests under this offer. */
    readonly priority: Priority;
}

/** Lookup tables over the configuration, used on the request path. */
export interface OfferIndex {
    /** Returns the caller that has an API key with this hash. */
    findCaller(keyHash: string): ResourceOf<"Caller"> | undefined;
    hasAdapter(adapter: AdapterName): boolean;
    /** Returns the offers of an adapter to a caller. */
    findOffers(caller: CallerName, adapter: AdapterName): readonly ResourceOf<"Offer">[];
    /** Lists all offers to a caller, sorted by name. */
    listOffered(caller: CallerName): readonly ResourceOf<"Offer">[];
    findAdapter(adapter: AdapterName): ResourceOf<"Adapter"> | undefined;
    /** Lists the engines that serve a base model. */
    listEngines(baseModel: BaseModel): readonly ConfiguredEngine[];
    /** All engines of the configuration. */
    readonly engines: readonly ConfiguredEngine[];
    findService(name: string): ResourceOf<"Service"> | undefined;
}

/** An offer index that is updated with the configuration. */
export interface LiveOfferIndex extends OfferIndex {
    /** Applies a newer configuration; `changes` is undefined if the whole snapshot was replaced. */
    update(snapshot: ConfigSnapshot, changes: readonly ConfigChange[] | undefined): void;
}

/** Offers by key, then by resource name. */
type OfferTable<Key> = Map<Key, Map<string, ResourceOf<"Offer">>>;

interface IndexTables {
    readonly callersByKeyHash: Map<string, ResourceOf<"Caller">>;
    readonly offersByAdapter: OfferTable<AdapterName>;
    readonly offersByCaller: OfferTable<CallerName>;
    readonly enginesByBaseModel: ReadonlyMap<BaseModel, readonly ConfiguredEngine[]>;
    readonly engines: readonly ConfiguredEngine[];
}

/**
 * Creates an index whose update cost per changed caller or offer does not grow with the configuration.
 *
 * @param initial - Configuration to build the tables from
 * @returns an index to be updated from a configuration subscription
 *
 * @example
 * const index = buildOfferIndex(config.snapshot);
 * config.subscribe((snapshot, changes) => index.update(snapshot, changes));
 */
export function buildOfferIndex(initial: ConfigSnapshot): LiveOfferIndex {
    let snapshot = initial;
    let tables = buildTables(initial);
    return {
        update(next, changes) {
            const previous = snapshot;
            snapshot = next;
            tables = changes === undefined
                ? buildTables(next)
                : changes.reduce((current, change) => applyChange(current, change, previous, next), tables);
        },
        findCaller: keyHash => tables.callersByKeyHash.get(keyHash),
        hasAdapter: adapter => readResource(snapshot, "Adapter", adapter) !== undefined,
        findOffers: (caller, adapter) =>
            [...tables.offersByAdapter.get(adapter)?.values() ?? []].filter(offer =>
                offer.spec.callers.includes(caller)
            ),
        listOffered: caller =>
            [...tables.offersByCaller.get(caller)?.values() ?? []].sort((a, b) =>
                a.metadata.name < b.metadata.name ? -1 : 1
            ),
        findAdapter: adapter => readResource(snapshot, "Adapter", adapter),
        listEngines: baseModel => tables.enginesByBaseModel.get(baseModel) ?? [],
        get engines() {
            return tables.engines;
        },
        findService: name => readResource(snapshot, "Service", name),
    };
}

function buildTables(snapshot: ConfigSnapshot): IndexTables {
    const tables = {
        callersByKeyHash: new Map(),
        offersByAdapter: new Map(),
        offersByCaller: new Map(),
        ...indexEngines(snapshot),
    };
    listResources(snapshot, "Caller").forEach(caller => addToTables(tables, caller));
    listResources(snapshot, "Offer").forEach(offer => addToTables(tables, offer));
    return tables;
}

function applyChange(
    tables: IndexTables,
    change: ConfigChange,
    previous: ConfigSnapshot,
    next: ConfigSnapshot,
): IndexTables {
    const { kind, name } = change.op.kind === "put"
        ? { kind: change.op.resource.kind, name: change.op.resource.metadata.name }
        : change.op.ref;
    [readResource<ResourceKind>(previous, kind, name), readResource<ResourceKind>(next, kind, name)].forEach(
        (resource, index) => {
            if (resource !== undefined) {
                (index === 0 ? removeFromTables : addToTables)(tables, resource);
            }
        },
    );
    return kind === "Upstream" ? { ...tables, ...indexEngines(next) } : tables;
}

function addToTables(tables: IndexTables, resource: Resource): void {
    if (resource.kind === "Caller") {
        resource.spec.keyHashes.forEach(hash => tables.callersByKeyHash.set(hash, resource));
    }
    if (resource.kind === "Offer") {
        const { name } = resource.metadata;
        ensureOffers(tables.offersByAdapter, resource.spec.adapter).set(name, resource);
        resource.spec.callers.forEach(caller => ensureOffers(tables.offersByCaller, caller).set(name, resource));
    }
}

function removeFromTables(tables: IndexTables, resource: Resource): void {
    if (resource.kind === "Caller") {
        resource.spec.keyHashes
            .filter(hash => tables.callersByKeyHash.get(hash)?.metadata.name === resource.metadata.name)
            .forEach(hash => tables.callersByKeyHash.delete(hash));
    }
    if (resource.kind === "Offer") {
        const { name } = resource.metadata;
        removeOffer(tables.offersByAdapter, resource.spec.adapter, name);
        resource.spec.callers.forEach(caller => removeOffer(tables.offersByCaller, caller, name));
    }
}

function ensureOffers<Key>(table: OfferTable<Key>, key: Key): Map<string, ResourceOf<"Offer">> {
    const offers = table.get(key) ?? new Map<string, ResourceOf<"Offer">>();
    table.set(key, offers);
    return offers;
}

function removeOffer<Key>(table: OfferTable<Key>, key: Key, name: string): void {
    const offers = table.get(key);
    offers?.delete(name);
    if (offers?.size === 0) {
        table.delete(key);
    }
}

function indexEngines(snapshot: ConfigSnapshot): Pick<IndexTables, "enginesByBaseModel" | "engines"> {
    const enginesByBaseModel = new Map<BaseModel, readonly ConfiguredEngine[]>();
    for (const upstream of listResources(snapshot, "Upstream")) {
        const { baseModel } = upstream.spec;
        enginesByBaseModel.set(baseModel, [
            ...enginesByBaseModel.get(baseModel) ?? [],
            ...listUpstreamEngines(upstream),
        ]);
    }
    return { enginesByBaseModel, engines: [...enginesByBaseModel.values()].flat() };
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
