import type { HostId, Incarnation } from "@fulmarcleat/ids";
import type { FormerOwner } from "./engineState.js";
import type { OwnerRecord } from "./ownerRecord.js";

/** What a host knows when it weighs claiming an engine. */
export interface ClaimView {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly record: OwnerRecord | undefined;
    /** Incarnation in the recorded owner's session; undefined where its lease has lapsed. */
    readonly ownerSession: Incarnation | undefined;
    /** Whether this host is the engine's first choice among the live hosts. */
    readonly isPreferred: boolean;
}

/** Whether to claim an engine. */
export type ClaimDecision =
    | { readonly kind: "claim"; readonly fence: number; readonly former: FormerOwner }
    | { readonly kind: "own"; readonly fence: number }
    | { readonly kind: "wait" };

/**
 * Decides whether a host claims an engine.
 *
 * @param view - What the host knows
 * @returns the decision; a claim still has to win the compare-and-swap
 *
 * @example
 * const decision = decideClaim({ self, incarnation, record, ownerSession, isPreferred });
 */
export function decideClaim(view: ClaimView): ClaimDecision {
    const { record } = view;
    if (record === undefined) {
        return view.isPreferred ? { kind: "claim", fence: 1, former: "none" } : { kind: "wait" };
    }
    if (record.host === view.self && record.incarnation === view.incarnation && !record.released) {
        return { kind: "own", fence: record.fence };
    }
    if (!view.isPreferred) {
        return { kind: "wait" };
    }
    const fence = record.fence + 1;
    if (record.released) {
        return { kind: "claim", fence, former: "released" };
    }
    if (view.ownerSession === undefined) {
        return { kind: "claim", fence, former: record.host === view.self ? "gone" : "lapsed" };
    }
    return view.ownerSession === record.incarnation ? { kind: "wait" } : { kind: "claim", fence, former: "gone" };
}
