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

/** An index that follows the configuration. */
export interface LiveOfferIndex extends OfferIndex {
    /** Takes in a newer configuration; `changes` is undefined where everything was replaced. */
    update(snapshot: ConfigSnapshot, changes: readonly ConfigChange[] | undefined): void;
}

type OfferTable<Key> = Map<Key, Map<string, ResourceOf<"Offer">>>;

interface Tables {
    readonly callers: Map<string, ResourceOf<"Caller">>;
    readonly byAdapter: OfferTable<AdapterName>;
    readonly byCaller: OfferTable<CallerName>;
    readonly enginesByBase: ReadonlyMap<BaseModel, readonly ConfiguredEngine[]>;
    readonly engines: readonly ConfiguredEngine[];
}

/**
 * Creates an index that takes each change in at a cost that does not grow with the configuration.
 *
 * @param start - The configuration to begin with
 * @returns the index
 *
 * @example
 * const index = buildOfferIndex(config.snapshot);
 * config.subscribe((snapshot, changes) => index.update(snapshot, changes));
 */
export function buildOfferIndex(start: ConfigSnapshot): LiveOfferIndex {
    let snapshot = start;
    let tables = buildTables(start);
    return {
        update(next, changes) {
            const former = snapshot;
            snapshot = next;
            tables = changes === undefined
                ? buildTables(next)
                : changes.reduce((present, change) => applyChange(present, change, former, next), tables);
        },
        findCaller: keyHash => tables.callers.get(keyHash),
        hasAdapter: adapter => readResource(snapshot, "Adapter", adapter) !== undefined,
        findOffers: (caller, adapter) =>
            [...tables.byAdapter.get(adapter)?.values() ?? []].filter(offer => offer.spec.callers.includes(caller)),
        listOffered: caller =>
            [...tables.byCaller.get(caller)?.values() ?? []].sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1),
        findAdapter: adapter => readResource(snapshot, "Adapter", adapter),
        listEngines: baseModel => tables.enginesByBase.get(baseModel) ?? [],
        get engines() {
            return tables.engines;
        },
        findService: name => readResource(snapshot, "Service", name),
    };
}

function buildTables(snapshot: ConfigSnapshot): Tables {
    const tables = { callers: new Map(), byAdapter: new Map(), byCaller: new Map(), ...indexEngines(snapshot) };
    listResources(snapshot, "Caller").forEach(caller => add(tables, caller));
    listResources(snapshot, "Offer").forEach(offer => add(tables, offer));
    return tables;
}

function applyChange(
    tables: Tables,
    change: ConfigChange,
    former: ConfigSnapshot,
    next: ConfigSnapshot,
): Tables {
    const { kind, name } = change.op.kind === "put"
        ? { kind: change.op.resource.kind, name: change.op.resource.metadata.name }
        : change.op.ref;
    [readResource<ResourceKind>(former, kind, name), readResource<ResourceKind>(next, kind, name)].forEach(
        (resource, at) => {
            if (resource !== undefined) {
                (at === 0 ? remove : add)(tables, resource);
            }
        },
    );
    return kind === "Upstream" ? { ...tables, ...indexEngines(next) } : tables;
}

function add(tables: Tables, resource: Resource): void {
    if (resource.kind === "Caller") {
        resource.spec.keyHashes.forEach(hash => tables.callers.set(hash, resource));
    }
    if (resource.kind === "Offer") {
        const { name } = resource.metadata;
        ensure(tables.byAdapter, resource.spec.adapter).set(name, resource);
        resource.spec.callers.forEach(caller => ensure(tables.byCaller, caller).set(name, resource));
    }
}

function remove(tables: Tables, resource: Resource): void {
    if (resource.kind === "Caller") {
        resource.spec.keyHashes
            .filter(hash => tables.callers.get(hash)?.metadata.name === resource.metadata.name)
            .forEach(hash => tables.callers.delete(hash));
    }
    if (resource.kind === "Offer") {
        const { name } = resource.metadata;
        drop(tables.byAdapter, resource.spec.adapter, name);
        resource.spec.callers.forEach(caller => drop(tables.byCaller, caller, name));
    }
}

function ensure<Key>(table: OfferTable<Key>, key: Key): Map<string, ResourceOf<"Offer">> {
    const present = table.get(key) ?? new Map<string, ResourceOf<"Offer">>();
    table.set(key, present);
    return present;
}

function drop<Key>(table: OfferTable<Key>, key: Key, name: string): void {
    const present = table.get(key);
    present?.delete(name);
    if (present?.size === 0) {
        table.delete(key);
    }
}

function indexEngines(snapshot: ConfigSnapshot): Pick<Tables, "enginesByBase" | "engines"> {
    const enginesByBase = new Map<BaseModel, readonly ConfiguredEngine[]>();
    for (const upstream of listResources(snapshot, "Upstream")) {
        const { baseModel } = upstream.spec;
        enginesByBase.set(baseModel, [...enginesByBase.get(baseModel) ?? [], ...listUpstreamEngines(upstream)]);
    }
    return { enginesByBase, engines: [...enginesByBase.values()].flat() };
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
