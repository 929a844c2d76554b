import type { HostId, Incarnation } from "@fulmarcleat/ids";

/** Claim of an engine's owner as stored in the platform's store. */
export interface OwnerClaim {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** Whether the owner released the engine, which it does only after the reply to its last order. */
    readonly isReleased: boolean;
    /**
     * Whether the owner gave the engine up because it had lost its path to it. If it did not release the engine too,
     * orders of it may still be carried out.
     */
    readonly hasLostPath: boolean;
    /**
     * Why the owner waits before its first order: the last order of an owner before it may be younger than the order
     * lease, or that owner may still have the right to order. Undefined once it may order.
     */
    readonly waitsFor?: "order_lease" | "order_right" | undefined;
    /** Hosts that may still have the right to order while the owner waits for its end; empty if they are unknown. */
    readonly formerHosts?: readonly HostId[] | undefined;
    /**
     * Whether the claim is from a copy that the store came back from: nobody orders by it, and owners after it may have
     * been forgotten.
     */
    readonly isRestored?: boolean | undefined;
    /** Revision of the claim, which is the fencing token of its holder's orders. */
    readonly revision: number;
}

/** Inputs to a host's decision whether to claim an engine. */
export interface EngineClaimView {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly claim: OwnerClaim | undefined;
    /** Position of this host in the engine's order of live hosts, or of successors after a lost path; 0 is first. */
    readonly rank: number;
    /** Whether this host was the last owner, and no other one can have been since. */
    readonly wasOwner: boolean;
    /** Whether this host's wait before its first order is over. */
    readonly isWaitOver: boolean;
    /** Whether this host gets nothing from the engine while other hosts do. */
    readonly isPathLost: boolean;
    /** Whether this host may give the engine up for a lost path now. */
    readonly mayHandOver: boolean;
    /** How long the engine has been without an owner, in milliseconds. */
    readonly unownedMs: number;
    /** Whether the engine has never had an owner, for all that hosts can have done unseen. */
    readonly isNeverOwned: boolean;
    /** Whether engines reject a former owner's orders once they have received an order of the new owner. */
    readonly checksFences: boolean;
}

/** Whether a host owns an engine, claims it, hands it over or waits. */
export type EngineClaimDecision =
    | { readonly kind: "own"; readonly fence: number }
    | {
        readonly kind: "claim";
        /** Revision that the claim's key must have, so that only one host's claim succeeds. */
        readonly expectedRevision: number;
        /** Whether the new owner must wait because another host may still send orders, or may have just sent some. */
        readonly mustWait: boolean;
    }
    /** The host gives its engine up, under the condition that the claim's key has this revision. */
    | { readonly kind: "hand_over"; readonly expectedRevision: number }
    | { readonly kind: "wait" };

const WAIT: EngineClaimDecision = { kind: "wait" };
/** Time per position in the order of hosts before a host claims an engine without an owner, in milliseconds. */
const RANK_WAIT_MS = 400;
/** Time for the last owner to claim its engine again before others do, in milliseconds. */
const FORMER_WAIT_MS = 600;

/**
 * Decides whether a host owns an engine, claims it, hands it over or waits.
 *
 * @param view - Current claim, this host's rank and how long the engine has had no owner
 * @returns the decision; a claim takes effect only if its compare-and-swap in the store succeeds
 *
 * @example
 * const decision = decideEngineClaim(view);
 */
export function decideEngineClaim(view: EngineClaimView): EngineClaimDecision {
    const { claim, self } = view;
    if (claim?.isRestored === true) {
        return view.isPathLost || view.unownedMs < view.rank * RANK_WAIT_MS + FORMER_WAIT_MS
            ? WAIT
            : { kind: "claim", expectedRevision: claim.revision, mustWait: !view.checksFences };
    }
    if (claim !== undefined && !claim.isReleased && !claim.hasLostPath) {
        return claim.host === self ? decideOwnClaim(view, claim) : WAIT;
    }
    if (view.isPathLost) {
        return WAIT;
    }
    if (claim !== undefined) {
        return view.unownedMs >= (claim.hasLostPath ? countRankSteps(view.rank) : view.rank) * RANK_WAIT_MS
            ? { kind: "claim", expectedRevision: claim.revision, mustWait: !claim.isReleased && !view.checksFences }
            : WAIT;
    }
    const waitMs = view.wasOwner ? 0 : view.rank * RANK_WAIT_MS + (view.isNeverOwned ? 0 : FORMER_WAIT_MS);
    return view.unownedMs >= waitMs
        ? {
            kind: "claim",
            expectedRevision: 0,
            mustWait: !view.wasOwner && !view.isNeverOwned && !view.checksFences,
        }
        : WAIT;
}

/** Decides what a host does with an engine whose claim names it as the owner. */
function decideOwnClaim(view: EngineClaimView, claim: OwnerClaim): EngineClaimDecision {
    if (view.isPathLost && view.mayHandOver) {
        return { kind: "hand_over", expectedRevision: claim.revision };
    }
    if (claim.incarnation !== view.incarnation) {
        return view.isPathLost
            ? WAIT
            : {
                kind: "claim",
                expectedRevision: claim.revision,
                mustWait: claim.waitsFor !== undefined && !view.checksFences,
            };
    }
    return claim.waitsFor !== undefined && view.isWaitOver
        ? { kind: "claim", expectedRevision: claim.revision, mustWait: false }
        : { kind: "own", fence: claim.revision };
}

/**
 * Counts the waits of a host before it claims an engine whose owner has lost its path. With each wait twice as many
 * hosts may claim, so that hosts without a path delay the others little, however many they are.
 */
function countRankSteps(rank: number): number {
    return Math.ceil(Math.log2(rank + 1));
}
