import type { Member } from "./memberView.js";

/**
 * Marks the hosts that have not answered for too long.
 *
 * @param members - The hosts known so far
 * @param silenceMs - Longest silence, in milliseconds
 * @param nowMs - The present, in milliseconds
 * @returns the hosts known now
 *
 * @example
 * members = markSilent(members, 6000, clock.nowMs());
 */
export function markSilent(members: readonly Member[], silenceMs: number, nowMs: number): readonly Member[] {
    return members.map(
        member => (member.state === "live" && nowMs - member.heardMs > silenceMs
            ? { ...member, state: "silent" }
            : member),
    );
}
