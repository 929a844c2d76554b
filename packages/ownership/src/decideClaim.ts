import type { HostId, Incarnation } from "@fulmarcleat/ids";
import type { FormerOwnerState } from "./engineState.js";
import type { OwnerRecord } from "./ownerRecord.js";

/** Inputs to a host's decision whether to claim an engine. */
export interface ClaimContext {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly record: OwnerRecord | undefined;
    /** Incarnation in the recorded owner's session; undefined if its lease has expired. */
    readonly ownerSession: Incarnation | undefined;
    /** Whether this host is the preferred owner among the live hosts. */
    readonly isPreferred: boolean;
}

/** Whether to claim an engine: `own` if this host owns it already, `wait` if another host owns or should claim it. */
export type ClaimDecision =
    | { readonly kind: "claim"; readonly fence: number; readonly former: FormerOwnerState }
    | { readonly kind: "own"; readonly fence: number }
    | { readonly kind: "wait" };

/**
 * Decides whether a host claims an engine.
 *
 * @param context - This host, the engine's owner record and the recorded owner's session
 * @returns the decision; a claim takes effect only if its compare-and-swap succeeds
 *
 * @example
 * const decision = decideClaim({ self, incarnation, record, ownerSession, isPreferred });
 */
export function decideClaim(context: ClaimContext): ClaimDecision {
    const { record } = context;
    if (record === undefined) {
        return context.isPreferred ? { kind: "claim", fence: 1, former: "none" } : { kind: "wait" };
    }
    if (record.host === context.self && record.incarnation === context.incarnation && !record.released) {
        return { kind: "own", fence: record.fence };
    }
    if (!context.isPreferred) {
        return { kind: "wait" };
    }
    const fence = record.fence + 1;
    if (record.released) {
        return { kind: "claim", fence, former: "released" };
    }
    if (context.ownerSession === undefined) {
        return { kind: "claim", fence, former: record.host === context.self ? "gone" : "lapsed" };
    }
    return context.ownerSession === record.incarnation ? { kind: "wait" } : { kind: "claim", fence, former: "gone" };
}
