import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import type { EngineId, HostId } from "@fulmarcleat/ids";

/**
 * Assigns engines to hosts evenly; every host computes the same result.
 *
 * @param hash - Hash function that all hosts share
 * @param engines - Ids of the engines to assign
 * @param hosts - Ids of the live hosts
 * @returns for each engine, all hosts in the order in which they should own it
 *
 * @example
 * const first = assignOwners(hash, engines, hosts).get(engine)?.[0];
 */
export function assignOwners(
    hash: Hasher,
    engines: readonly EngineId[],
    hosts: readonly HostId[],
): ReadonlyMap<EngineId, readonly HostId[]> {
    const maxPerHost = Math.ceil(engines.length / Math.max(1, hosts.length));
    const counts = new Map<HostId, number>();
    const assigned = new Map<EngineId, readonly HostId[]>();
    for (const engine of [...engines].sort()) {
        const ranked = rankByRendezvous(hash, engine, hosts);
        const first = ranked.find(host => (counts.get(host) ?? 0) < maxPerHost);
        if (first !== undefined) {
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
        assigned.set(engine, first === undefined ? ranked : [first, ...ranked.filter(host => host !== first)]);
    }
    return assigned;
}
