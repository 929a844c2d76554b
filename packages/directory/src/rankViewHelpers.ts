import type { HostId } from "@fulmarcleat/ids";
import type { Rank, ViewHost } from "./chooseViewRole.js";
import { preferFastLinks } from "./preferFastLinks.js";

/**
 * Ranks the hosts that a host may ask for their views while the store doesn't answer it. Those with the fastest
 * links come first; among equal ones each host has an order of its own, so that they share the requests.
 *
 * @param self - The host that asks
 * @param hosts - All live hosts, this one included
 * @param rank - Ranks names for a key by rendezvous hashing
 * @returns the hosts, the preferred one first
 *
 * @example
 * const [helper] = rankViewHelpers(deployment.host, members, (key, names) => rankByRendezvous(hash, key, names));
 */
export function rankViewHelpers(self: HostId, hosts: readonly ViewHost[], rank: Rank): readonly HostId[] {
    const others = hosts.filter(other => other.host !== self && other.canBeFollowed === true && !other.isLeaving);
    return preferFastLinks(rank(`help for ${self}`, others.map(({ host }) => host)), others);
}
