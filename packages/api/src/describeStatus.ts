import type { HostId } from "@fulmarcleat/ids";
import type { Resource } from "@fulmarcleat/resources";
import type { EngineStatus } from "@fulmarcleat/wire";
import type { GatheredStatus } from "./gatherStatus.js";

/** How far a change has come. */
export interface InForceStatus {
    /** The change in question. */
    readonly resourceVersion: number;
    readonly inForceOn: readonly HostId[];
    /** Live hosts that have an older configuration. */
    readonly lagging: readonly HostId[];
    /** Listed hosts that did not answer. */
    readonly silent: readonly HostId[];
    /** Whether every host that answered has it in force, and at least one did. */
    readonly inForce: boolean;
}

/** State of one resource. */
export interface ResourceStatus extends InForceStatus {
    readonly generation: number;
    /** For an Upstream: its engines as their owners see them. */
    readonly engines?: readonly EngineStatus[];
    /** For an Upstream that drains: what still runs or waits. */
    readonly draining?: { readonly running: number; readonly waiting: number; readonly done: boolean };
    /** For an Adapter: the engines that hold it. */
    readonly loadedOn?: readonly {
        readonly engine: string;
        readonly instance: string;
        readonly state: string;
        readonly pins: number;
        readonly ratePerSecond: number;
    }[];
}

/**
 * Tells on which hosts a change is in force.
 *
 * @param seq - The change
 * @param gathered - What the hosts said
 * @returns the hosts that have it, those that lag and those that are silent
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
        silent: gathered.silent,
        inForce: lagging.length === 0 && inForceOn.length > 0,
    };
}

/**
 * Tells the state of a resource from what the hosts said.
 *
 * @param resource - The resource
 * @param gathered - What the hosts said
 * @returns its state
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
        const own = engines.filter(engine => ids.has(engine.engine));
        const running = own.reduce((sum, engine) => sum + engine.running, 0);
        const waiting = own.reduce((sum, engine) => sum + engine.waiting, 0);
        const draining = { running, waiting, done: running + waiting === 0 };
        return { ...base, engines: own, ...(resource.spec.draining ? { draining } : {}) };
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
