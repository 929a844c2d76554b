import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { preferFastLinks } from "./preferFastLinks.js";

/** A host that others may follow. */
export interface ViewHost {
    readonly host: HostId;
    readonly domain?: FailureDomain | undefined;
    /** Whether it answers hosts that follow it; hosts of former versions don't. */
    readonly canBeFollowed?: boolean | undefined;
    /** Rate of its link, in Mbit/s; undefined if it is unknown. */
    readonly linkMbps?: number | undefined;
    readonly isLeaving: boolean;
}

/** How a host learns what has changed in the store. */
export interface ViewRole {
    /** Whether other hosts follow this one. */
    readonly isFollowed: boolean;
    /** Hosts to follow, the preferred one first; none if the host reads the store itself. */
    readonly sources: readonly HostId[];
    /** Number of hosts that read the store while none of them fails. */
    readonly readers: number;
    /** Number of hosts that follow this one while none of the followed hosts fails; rounded up. */
    readonly followers: number;
}

/** Ranks names for a key; the same in all hosts. */
export type Rank = (key: string, hosts: readonly HostId[]) => readonly HostId[];

/** Hosts of a failure domain that read the store for the others. */
const SOURCES = 2;
/** Fewest hosts of a failure domain of which some follow others. */
const MIN_DOMAIN_HOSTS = 5;

/**
 * Chooses how a host learns what has changed in the store, so that the number of hosts that read the store itself grows
 * with the failure domains and not with the hosts. Hosts with the fastest links are followed, since their replies to all
 * others leave over them.
 *
 * @param self - The host
 * @param hosts - All live hosts, this one included
 * @param rank - Ranks names for a key by rendezvous hashing
 * @returns whether the host is followed, and whom it follows
 *
 * @example
 * const { sources } = chooseViewRole(deployment.host, members, (key, names) => rankByRendezvous(hash, key, names));
 */
export function chooseViewRole(self: HostId, hosts: readonly ViewHost[], rank: Rank): ViewRole {
    const domain = hosts.find(({ host }) => host === self)?.domain;
    const neighbours = hosts.filter(other =>
        domain !== undefined && other.domain === domain && other.canBeFollowed === true && !other.isLeaving
    );
    if (neighbours.length < MIN_DOMAIN_HOSTS) {
        return { isFollowed: false, sources: [], readers: hosts.length, followers: 0 };
    }
    const ranked = rank(`view of ${domain}`, neighbours.map(({ host }) => host));
    const sources = preferFastLinks(ranked, neighbours).slice(0, SOURCES);
    const readers = SOURCES * new Set(hosts.map(other => other.domain)).size;
    return sources.includes(self)
        ? { isFollowed: true, sources: [], readers, followers: Math.ceil((neighbours.length - SOURCES) / SOURCES) }
        : { isFollowed: false, sources: rank(`view of ${self}`, sources), readers, followers: 0 };
}
