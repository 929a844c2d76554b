import type { ListedHost } from "@fulmarcleat/drivers";
import type { Member } from "./memberView.js";

/**
 * Takes in the platform's list of hosts; a host that is no longer listed is forgotten.
 *
 * @param members - The hosts known so far
 * @param listed - The platform's list
 * @param nowMs - The present, in milliseconds
 * @returns the hosts known now, in the order of their ids
 *
 * @example
 * members = mergeHostList(members, await hostList.list(), clock.nowMs());
 */
export function mergeHostList(
    members: readonly Member[],
    listed: readonly ListedHost[],
    nowMs: number,
): readonly Member[] {
    const known = new Map(members.map(member => [member.host, member]));
    return listed
        .map(entry => mergeOne(known.get(entry.host), entry, nowMs))
        .sort((a, b) => (a.host < b.host ? -1 : 1));
}

function mergeOne(known: Member | undefined, entry: ListedHost, nowMs: number): Member {
    const { host, address, port, failureDomain } = entry;
    const present: Member = known
        ?? {
            host,
            address,
            port,
            failureDomain,
            state: "live",
            isListedLeaving: false,
            incarnation: undefined,
            heardMs: nowMs,
            configSeq: 0,
            ownedEngines: [],
        };
    const isListedLeaving = entry.state === "leaving";
    const state = isListedLeaving ? "leaving" : present.state;
    return { ...present, address, port, failureDomain, state, isListedLeaving };
}
