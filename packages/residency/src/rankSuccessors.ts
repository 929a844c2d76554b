import type { FailureDomain, HostId } from "@fulmarcleat/ids";

/** A live host and the failure domain that it stated, if any. */
export interface PlacedHost {
    readonly host: HostId;
    readonly domain?: FailureDomain | undefined;
}

/**
 * Ranks the hosts that may own an engine after its owner has lost its path to it: hosts of other failure domains go
 * first, since a fault often cuts off a whole domain, and the former owner goes last.
 *
 * @param hosts - Live hosts in the order in which they should own the engine
 * @param former - The host that gave the engine up
 * @returns all these hosts, the preferred one first
 *
 * @example
 * const rank = rankSuccessors(hosts, claim.host).indexOf(self);
 */
export function rankSuccessors(hosts: readonly PlacedHost[], former: HostId): readonly HostId[] {
    const domain = hosts.find(({ host }) => host === former)?.domain;
    const rate = (placed: PlacedHost): number =>
        placed.host === former ? 2 : domain !== undefined && placed.domain === domain ? 1 : 0;
    return [...hosts].sort((a, b) => rate(a) - rate(b)).map(({ host }) => host);
}
