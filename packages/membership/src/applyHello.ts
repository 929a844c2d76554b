import type { PeerHello } from "@fulmarcleat/wire";
import type { Member } from "./memberView.js";

/**
 * Takes in a host's word about itself.
 *
 * @param members - The hosts known so far
 * @param hello - The host's word
 * @param nowMs - The present, in milliseconds
 * @returns the hosts known now
 *
 * @example
 * members = applyHello(members, hello, clock.nowMs());
 */
export function applyHello(members: readonly Member[], hello: PeerHello, nowMs: number): readonly Member[] {
    return members.map(member => {
        if (member.host !== hello.host) {
            return member;
        }
        const state = hello.leaving || member.isListedLeaving ? "leaving" : "live";
        return {
            ...member,
            state,
            incarnation: hello.incarnation,
            heardMs: nowMs,
            configSeq: hello.configSeq,
            ownedEngines: hello.ownedEngines,
        };
    });
}
