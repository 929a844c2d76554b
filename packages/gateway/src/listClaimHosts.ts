import type { HostId } from "@fulmarcleat/ids";

/**
 * Lists the hosts among which the partitions of keys are shared.
 *
 * @param live - Live hosts as this one knows them
 * @param self - This host
 * @returns their ids, this one among them
 *
 * @example
 * const hosts = listClaimHosts(membership.liveHosts, host);
 */
export function listClaimHosts(live: readonly { readonly host: HostId }[], self: HostId): readonly HostId[] {
    const hosts = live.map(member => member.host);
    return hosts.includes(self) ? hosts : [...hosts, self];
}
