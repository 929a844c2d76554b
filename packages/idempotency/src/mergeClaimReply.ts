import type { ClaimReply } from "@fulmarcleat/wire";

/**
 * Interprets the reply to a claim request that may have been sent before.
 *
 * @param reply - Reply to the latest request; undefined if none arrived
 * @param wasLost - Whether an earlier request for the same claim was sent and got no reply
 * @returns the reply, or `undecided` if a request may have committed the claim
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
