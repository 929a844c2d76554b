import type { ClaimReply } from "@fulmarcleat/wire";
import type { PartitionContext, PartitionState, WaitingAsk } from "./partitionState.js";

/** What a partition's present knowledge says to an ask; undefined where the key is free. */
export type KnownReply = ClaimReply | undefined;

/**
 * Decides what is known of an ask's key.
 *
 * @param state - The partition; its page is taken as it is
 * @param ask - The ask
 * @param context - Time and limits
 * @returns the reply, or undefined where the key is free
 *
 * @example
 * const known = decideAsk(state, waiting.ask, context);
 */
export function decideAsk(
    state: Pick<PartitionState, "page" | "ends" | "answers">,
    ask: WaitingAsk["ask"],
    context: Pick<PartitionContext, "nowMs" | "limits">,
): KnownReply {
    const entry = Object.hasOwn(state.page.entries, ask.key) ? state.page.entries[ask.key] : undefined;
    if (entry === undefined) {
        return undefined;
    }
    if (ask.mode === "claim" && entry.nonce === ask.nonce) {
        return { kind: "granted" };
    }
    const end = state.ends.find(pending => pending.key === ask.key && pending.nonce === entry.nonce);
    if (end?.outcome === "not_run") {
        return undefined;
    }
    if (entry.requestHash !== ask.requestHash) {
        return { kind: "key_reused" };
    }
    const kept = state.answers.find(answer => answer.nonce === entry.nonce);
    if (kept !== undefined) {
        return { kind: "replay", answer: kept.answer };
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
