import type { ClaimReply } from "@fulmarcleat/wire";
import type { PartitionContext, PartitionState, PendingClaimRequest } from "./partitionState.js";

/** Reply to a claim request whose key is already claimed; undefined if the key is free. */
export type KnownClaimReply = ClaimReply | undefined;

/**
 * Resolves a claim request from the recorded claim of its key.
 *
 * @param state - State of the partition; its page may be stale
 * @param request - Mode, key, request hash and nonce
 * @param context - Current wall time and the partition's limits
 * @returns the reply, or undefined if the key is free
 *
 * @example
 * const reply = resolveClaimRequest(state, pending.request, context);
 */
export function resolveClaimRequest(
    state: Pick<PartitionState, "page" | "ends" | "answers">,
    request: PendingClaimRequest["request"],
    context: Pick<PartitionContext, "nowMs" | "limits">,
): KnownClaimReply {
    const entry = Object.hasOwn(state.page.entries, request.key) ? state.page.entries[request.key] : undefined;
    if (entry === undefined) {
        return undefined;
    }
    if (request.mode === "claim" && entry.nonce === request.nonce) {
        return { kind: "granted" };
    }
    const end = state.ends.find(pending => pending.key === request.key && pending.nonce === entry.nonce);
    if (end?.outcome === "not_run") {
        return undefined;
    }
    if (entry.requestHash !== request.requestHash) {
        return { kind: "key_reused" };
    }
    const retained = state.answers.find(answer => answer.nonce === entry.nonce);
    if (retained !== undefined) {
        return { kind: "replay", answer: retained.answer };
    }
    switch (end?.outcome ?? entry.state) {
        case "ran":
            return { kind: "ran" };
        case "unknown":
            return { kind: "unknown" };
        case "open":
            return context.nowMs < entry.atMs + context.limits.maxRunMs ? { kind: "in_progress" } : { kind: "unknown" };
    }
}
