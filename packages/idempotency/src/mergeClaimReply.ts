import type { ClaimReply } from "@fulmarcleat/wire";

/**
 * Says what an asker may conclude from a reply after earlier asks for the same claim.
 *
 * @param reply - The reply; undefined where none came
 * @param wasLost - Whether an earlier ask was sent and its reply never came
 * @returns the reply, or `undecided` where an earlier ask may have committed the claim
 *
 * @example
 * mergeClaimReply({ kind: "unavailable", retryAfterMs: 1000 }, true); // { kind: "undecided" }
 */
export function mergeClaimReply(reply: ClaimReply | undefined, wasLost: boolean): ClaimReply {
    if (reply === undefined) {
        return { kind: "undecided" };
    }
    return reply.kind === "unavailable" && wasLost ? { kind: "undecided" } : reply;
}
