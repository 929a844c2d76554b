import type { FailureDomain, HostId } from "@fulmarcleat/ids";

/** A live host, as the tree sees it. */
export interface TreeHost {
    readonly host: HostId;
    readonly failureDomain: FailureDomain;
}

/** Sizes of the tree. */
export interface TreeOptions {
    /** How many hosts of each failure domain watch the key-value service. */
    readonly relaysPerDomain: number;
    /** How many peers a host pushes to. */
    readonly fanOut: number;
    /** Orders the hosts; the same on every host. */
    readonly rank: (hosts: readonly HostId[]) => readonly HostId[];
}

/** A host's part in spreading the configuration. */
export interface TreePart {
    readonly isRelay: boolean;
    readonly targets: readonly HostId[];
}

/**
 * Places a host in the tree of its failure domain: relays at the root, below them `fanOut` peers each.
 *
 * @param self - The host
 * @param live - Every live host, this one among them
 * @param options - Sizes and order
 * @returns whether the host watches the key-value service, and whom it pushes to
 *
 * @example
 * const { isRelay, targets } = planTree(self, live, { relaysPerDomain: 2, fanOut: 8, rank });
 */
export function planTree(self: TreeHost, live: readonly TreeHost[], options: TreeOptions): TreePart {
    const domain = live.filter(entry => entry.failureDomain === self.failureDomain && entry.host !== self.host);
    const order = options.rank([self.host, ...domain.map(entry => entry.host)]);
    const at = order.indexOf(self.host);
    const first = options.relaysPerDomain + at * options.fanOut;
    return { isRelay: at < options.relaysPerDomain, targets: order.slice(first, first + options.fanOut) };
}
