import type { ListedHost } from "@fulmarcleat/drivers";
import type { Member } from "./memberView.js";

/**
 * Merges the platform's list of hosts into the known hosts; hosts that are no longer listed are removed.
 *
 * @param members - Hosts known so far
 * @param listed - Hosts in the platform's list
 * @param nowMs - Current time, in milliseconds
 * @returns the updated hosts, ordered by id
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
    const current: Member = known
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
    const state = isListedLeaving ? "leaving" : current.state;
    return { ...current, address, port, failureDomain, state, isListedLeaving };
}
