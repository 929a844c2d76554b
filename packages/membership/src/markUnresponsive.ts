import type { Member } from "./memberView.js";

/**
 * Marks live hosts as `silent` if their last hello message is too old.
 *
 * @param members - Hosts known so far
 * @param silenceMs - Maximum time since the last hello message, in milliseconds
 * @param nowMs - Current time, in milliseconds
 * @returns the updated hosts
 *
 * @example
 * members = markUnresponsive(members, 6000, clock.nowMs());
 */
export function markUnresponsive(members: readonly Member[], silenceMs: number, nowMs: number): readonly Member[] {
    return members.map(
        member => (member.state === "live" && nowMs - member.heardMs > silenceMs
            ? { ...member, state: "silent" }
            : member),
    );
}
