import type { HostId, Incarnation } from "@fulmarcleat/ids";

/** Claim of an engine's owner as stored in the platform's store. */
export interface OwnerClaim {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** Whether the owner released the engine, which it does only after the reply to its last order. */
    readonly isReleased: boolean;
    /** Revision of the claim, which is the fencing token of its holder's orders. */
    readonly revision: number;
}

/** Inputs to a host's decision whether to claim an engine. */
export interface EngineClaimView {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly claim: OwnerClaim | undefined;
    /** Position of this host in the engine's order of live hosts; 0 is first. */
    readonly rank: number;
    /** Whether this host was the last known owner. */
    readonly wasOwner: boolean;
    /** How long the engine has been without an owner, in milliseconds. */
    readonly unownedMs: number;
    /** Whether the system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Whether engines reject a former owner's orders once they have received an order of the new owner. */
    readonly checksFences: boolean;
}

/** Whether a host owns an engine, claims it or waits. */
export type EngineClaimDecision =
    | { readonly kind: "own"; readonly fence: number }
    | {
        readonly kind: "claim";
        /** Revision that the claim's key must have, so that only one host's claim succeeds. */
        readonly expectedRevision: number;
        /** Whether the new owner must wait because another host may have just sent orders. */
        readonly mustWait: boolean;
    }
    | { readonly kind: "wait" };

/** Time per position in the order of hosts before a host claims an engine without an owner, in milliseconds. */
const RANK_WAIT_MS = 400;
/** Time for the last owner to claim its engine again before others do, in milliseconds. */
const FORMER_WAIT_MS = 600;

/**
 * Decides whether a host owns an engine, claims it or waits.
 *
 * @param view - Current claim, this host's rank and how long the engine has had no owner
 * @returns the decision; a claim takes effect only if its compare-and-swap in the store succeeds
 *
 * @example
 * const decision = decideEngineClaim(view);
 */
export function decideEngineClaim(view: EngineClaimView): EngineClaimDecision {
    const { claim, self } = view;
    if (claim !== undefined && !claim.isReleased) {
        if (claim.host !== self) {
            return { kind: "wait" };
        }
        return claim.incarnation === view.incarnation
            ? { kind: "own", fence: claim.revision }
            : { kind: "claim", expectedRevision: claim.revision, mustWait: false };
    }
    const waitMs = view.wasOwner ? 0 : view.rank * RANK_WAIT_MS + (view.isFirstStart ? 0 : FORMER_WAIT_MS);
    if (claim !== undefined) {
        return view.unownedMs >= view.rank * RANK_WAIT_MS
            ? { kind: "claim", expectedRevision: claim.revision, mustWait: false }
            : { kind: "wait" };
    }
    return view.unownedMs >= waitMs
        ? { kind: "claim", expectedRevision: 0, mustWait: !view.wasOwner && !view.isFirstStart && !view.checksFences }
        : { kind: "wait" };
}
