import type { RateLimit } from "@fulmarcleat/directory";

/** A request that a host decides on while it reaches no granter. */
export interface AloneTerms {
    readonly cost: number;
    readonly limit: RateLimit;
    /** Number of hosts that share the limit. */
    readonly hosts: number;
    /** Units that hosts which decide alone may admit beyond their shares in a window. */
    readonly extra: number;
    readonly windowMs: number;
    /** Random number in [0, 1). */
    readonly draw: number;
    readonly atMs: number;
}

/** Decides on one account's requests at a host that reaches no granter. */
export interface AloneAllowance {
    /** Records what a granter has answered. */
    recordAnswer(requested: number, granted: number, atMs: number): void;
    /** Records what was refused without asking, since the granter had stated a time. */
    recordHeld(requested: number, atMs: number): void;
    /** Decides on a request without a granter. */
    admit(terms: AloneTerms): boolean;
    /** Undoes the admission of a request that did not run. */
    giveBack(cost: number): void;
}

/** Longest time for which a host decides alone, in milliseconds. */
const MAX_ALONE_MS = 4000;
/** Time after which an answer counts half as much, in milliseconds. */
const HALF_LIFE_MS = 2000;
/** Factor on the host's fair share of the limit. */
const SHARE_FACTOR = 2;
/** Time at the share that is saved up while no request comes, in milliseconds. */
const SHARE_SAVED_MS = 500;
/** Time between two requests that are admitted beyond the share, in milliseconds. */
const EXTRA_INTERVAL_MS = 1000;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Creates the decisions of a host that reaches no granter: it admits the share of the requests that granters admitted
 * lately, at most twice its fair share of the limit and one request per second, for a limited time.
 *
 * @returns the decisions, without any answer of a granter
 *
 * @example
 * const alone = createAloneAllowance();
 * alone.recordAnswer(5000, 5000, clock.nowMs());
 */
export function createAloneAllowance(): AloneAllowance {
    let requested = 0;
    let granted = 0;
    let decayedMs = -Infinity;
    /** Clock reading of the first decision since a granter last answered, in milliseconds. */
    let sinceMs: number | undefined;
    /** Saved-up share; infinite before the first request, so that the first one finds all that may be saved up. */
    let share = Infinity;
    let sharedMs = -Infinity;
    let spentExtra = 0;
    let extraMs = -Infinity;

    const decay = (atMs: number): void => {
        const factor = decayedMs === -Infinity ? 1 : 0.5 ** (Math.max(0, atMs - decayedMs) / HALF_LIFE_MS);
        requested *= factor;
        granted *= factor;
        decayedMs = atMs;
    };
    return {
        recordAnswer(asked, got, atMs) {
            decay(atMs);
            requested += asked;
            granted += got;
            sinceMs = undefined;
        },
        recordHeld(asked, atMs) {
            decay(atMs);
            requested += asked;
        },
        admit({ cost, limit, hosts, extra, windowMs, draw, atMs }) {
            sinceMs ??= atMs;
            if (atMs - sinceMs >= MAX_ALONE_MS || (requested > 0 && draw >= granted / requested)) {
                return false;
            }
            const elapsedMs = sharedMs === -Infinity ? 0 : Math.max(0, atMs - sharedMs);
            const sharePerMs = SHARE_FACTOR * limit.perSecond / hosts / MS_PER_S;
            share = Math.min(Math.max(1, sharePerMs * SHARE_SAVED_MS), share + elapsedMs * sharePerMs);
            spentExtra = Math.max(0, spentExtra - elapsedMs * extra / windowMs);
            sharedMs = atMs;
            if (share >= Math.min(cost, 1)) {
                share -= cost;
                return true;
            }
            if (atMs - extraMs >= EXTRA_INTERVAL_MS && spentExtra < extra) {
                extraMs = atMs;
                spentExtra += cost;
                return true;
            }
            return false;
        },
        giveBack(cost) {
            share += cost;
        },
    };
}
