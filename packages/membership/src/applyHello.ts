import type { PeerHello } from "@fulmarcleat/wire";
import type { Member } from "./memberView.js";

/**
 * Applies a host's hello message to the known hosts; hosts that are not listed are ignored.
 *
 * @param members - Hosts known so far
 * @param hello - Hello message with the host's own state
 * @param nowMs - Current time, in milliseconds
 * @returns the updated hosts
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
