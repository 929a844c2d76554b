import type { HostId, Incarnation } from "@fulmarcleat/ids";

/** An engine's owner as the store names it. */
export interface OwnerClaim {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** The owner gave the engine up after the answer to its last order. */
    readonly isReleased: boolean;
    /** Revision of the claim; the fence of its holder's orders. */
    readonly revision: number;
}

/** What a host knows when it weighs claiming an engine. */
export interface EngineClaimView {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly claim: OwnerClaim | undefined;
    /** Place of this host in the engine's order of live hosts; 0 is first. */
    readonly rank: number;
    /** Whether this host is the last owner that it knows of. */
    readonly wasOwner: boolean;
    /** How long the engine has been without an owner, in milliseconds. */
    readonly unownedMs: number;
    /** Whether the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Whether engines refuse a former owner's orders once they have seen this one's. */
    readonly checksFences: boolean;
}

/** What a host does about an engine's ownership. */
export type EngineClaimDecision =
    | { readonly kind: "own"; readonly fence: number }
    | {
        readonly kind: "claim";
        /** Revision that the claim's key must have. */
        readonly expectedRevision: number;
        /** Whether another host may have ordered a moment ago. */
        readonly mustWait: boolean;
    }
    | { readonly kind: "wait" };

/** Wait for each place in the order before a host claims an engine that nobody owns, in milliseconds. */
const RANK_WAIT_MS = 400;
/** How long the last owner may take to claim its engine again, in milliseconds. */
const FORMER_WAIT_MS = 600;

/**
 * Decides whether a host claims an engine.
 *
 * @param view - What the host knows
 * @returns the decision; a claim still has to win its change in the store
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
