import type { FailureDomain, HostId } from "@fulmarcleat/ids";

/** A live host and its failure domain. */
export interface TreeHost {
    readonly host: HostId;
    readonly failureDomain: FailureDomain;
}

/** Shape of the propagation tree. */
export interface TreeOptions {
    /** Number of hosts in each failure domain that watch the key-value service. */
    readonly relaysPerDomain: number;
    /** Number of peers that each host pushes to. */
    readonly fanOut: number;
    /** Ranks the hosts; must give the same order on every host. */
    readonly rank: (hosts: readonly HostId[]) => readonly HostId[];
}

/** Role of one host in the propagation tree. */
export interface TreePosition {
    /** Whether the host watches the key-value service. */
    readonly isRelay: boolean;
    /** Peers that the host pushes changes to. */
    readonly targets: readonly HostId[];
}

/**
 * Computes a host's position in the propagation tree of its failure domain.
 *
 * The first `relaysPerDomain` ranked hosts are relays at the root; each host pushes to `fanOut` hosts of lower rank.
 *
 * @param self - Host to place
 * @param live - Every live host, `self` included
 * @param options - Shape of the tree and ranking of the hosts
 * @returns whether the host is a relay, and the peers that it pushes to
 *
 * @example
 * const { isRelay, targets } = planPropagationTree(self, live, { relaysPerDomain: 2, fanOut: 8, rank });
 */
export function planPropagationTree(self: TreeHost, live: readonly TreeHost[], options: TreeOptions): TreePosition {
    const domain = live.filter(entry => entry.failureDomain === self.failureDomain && entry.host !== self.host);
    const rankedHosts = options.rank([self.host, ...domain.map(entry => entry.host)]);
    const index = rankedHosts.indexOf(self.host);
    const firstTarget = options.relaysPerDomain + index * options.fanOut;
    return {
        isRelay: index < options.relaysPerDomain,
        targets: rankedHosts.slice(firstTarget, firstTarget + options.fanOut),
    };
}
