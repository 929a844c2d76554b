import type { HostId } from "@fulmarcleat/ids";

/**
 * Lists the hosts among which the partitions of idempotency keys are divided.
 *
 * @param liveHosts - Responsive hosts in this host's membership view
 * @param self - Id of this host
 * @returns the ids of all live hosts, this host included
 *
 * @example
 * const hosts = listClaimHosts(membership.liveHosts, host);
 */
export function listClaimHosts(liveHosts: readonly { readonly host: HostId }[], self: HostId): readonly HostId[] {
    const hosts = liveHosts.map(member => member.host);
    return hosts.includes(self) ? hosts : [...hosts, self];
}
