import type { HostId } from "@fulmarcleat/ids";
import type { Resource } from "@fulmarcleat/resources";
import type { EngineStatus } from "@fulmarcleat/wire";
import type { GatheredStatus } from "./gatherStatus.js";

/** Hosts on which a change is in effect, and those on which it is not. */
export interface InForceStatus {
    /** Sequence number of the change. */
    readonly resourceVersion: number;
    readonly inForceOn: readonly HostId[];
    /** Hosts that answered with an older configuration. */
    readonly lagging: readonly HostId[];
    /** Hosts of the host list that did not answer. */
    readonly silent: readonly HostId[];
    /** Whether at least one host answered and the change is in effect on every host that did. */
    readonly inForce: boolean;
}

/** Status of one resource as the API returns it. */
export interface ResourceStatus extends InForceStatus {
    readonly generation: number;
    /** For an Upstream: its engines, as their owners report them. */
    readonly engines?: readonly EngineStatus[];
    /** For a draining Upstream: requests that still run or wait on its engines. */
    readonly draining?: { readonly running: number; readonly waiting: number; readonly done: boolean };
    /** For an Adapter: the engines on which one of its versions is loaded. */
    readonly loadedOn?: readonly {
        readonly engine: string;
        readonly instance: string;
        readonly state: string;
        readonly pins: number;
        readonly ratePerSecond: number;
    }[];
}

/**
 * Lists the hosts on which a change is in effect, those that lag behind and those that did not answer.
 *
 * @param seq - Sequence number of the change
 * @param gathered - Status replies of all hosts
 * @returns the hosts of each group, and whether the change is in effect on all that answered
 *
 * @example
 * const { lagging } = describeInForce(resource.metadata.resourceVersion, gathered);
 */
export function describeInForce(seq: number, gathered: GatheredStatus): InForceStatus {
    const inForceOn = gathered.hosts.filter(host => host.configSeq >= seq).map(host => host.host);
    const lagging = gathered.hosts.filter(host => host.configSeq < seq).map(host => host.host);
    return {
        resourceVersion: seq,
        inForceOn,
        lagging,
        silent: gathered.unresponsive,
        inForce: lagging.length === 0 && inForceOn.length > 0,
    };
}

/**
 * Computes the status of a resource from the status replies of all hosts.
 *
 * @param resource - Resource from the configuration
 * @param gathered - Status replies of all hosts
 * @returns the hosts that have its last change, and for an Upstream or Adapter the state on the engines
 *
 * @example
 * const status = describeStatus(upstream, await gatherStatus(options));
 */
export function describeStatus(resource: Resource, gathered: GatheredStatus): ResourceStatus {
    const { resourceVersion, generation, name } = resource.metadata;
    const base = { generation, ...describeInForce(resourceVersion, gathered) };
    const engines = gathered.hosts.flatMap(host => host.engines);
    if (resource.kind === "Upstream") {
        const ids = new Set(resource.spec.engines.map(engine => engine.id));
        const ownEngines = engines.filter(engine => ids.has(engine.engine));
        const running = ownEngines.reduce((sum, engine) => sum + engine.running, 0);
        const waiting = ownEngines.reduce((sum, engine) => sum + engine.waiting, 0);
        const draining = { running, waiting, done: running + waiting === 0 };
        return { ...base, engines: ownEngines, ...(resource.spec.draining ? { draining } : {}) };
    }
    if (resource.kind === "Adapter") {
        const loadedOn = engines.flatMap(engine =>
            engine.instances
                .filter(instance => instance.instance.startsWith(`${name}@`))
                .map(instance => ({ engine: engine.engine, ...instance }))
        );
        return { ...base, loadedOn };
    }
    return base;
}
