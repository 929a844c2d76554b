/** Revisions of one epoch; above any that a store counts to in one. */
const EPOCH_REVISIONS = 2 ** 40;

/** A revision and the epoch of the store that counted it. */
export interface EpochRevision {
    /** How often the store has come back from a copy; 0 if it doesn't say. */
    readonly epoch: number;
    /** Revision as the store counts it; after a return from a copy it counts on from the copy's. */
    readonly revision: number;
}

/**
 * Joins a revision with the epoch of the store that counted it. The joined revisions never go back: those of a later
 * epoch are higher than all of the epochs before.
 *
 * @param counted - Epoch and revision
 * @returns the joined revision; the revision itself in epoch 0
 *
 * @example
 * joinRevision({ epoch: 0, revision: 7 }); // 7
 */
export function joinRevision({ epoch, revision }: EpochRevision): number {
    return epoch * EPOCH_REVISIONS + revision;
}

/**
 * Splits a joined revision.
 *
 * @param joined - Joined revision
 * @returns the epoch and the revision that the store counted
 *
 * @example
 * splitRevision(joinRevision({ epoch: 2, revision: 7 })); // { epoch: 2, revision: 7 }
 */
export function splitRevision(joined: number): EpochRevision {
    return { epoch: Math.floor(joined / EPOCH_REVISIONS), revision: joined % EPOCH_REVISIONS };
}
