/** How old views of the store may be. */
export interface ViewAges {
    /** Whether the time suffices for hosts to follow others. */
    readonly mayFollow: boolean;
    /** Age of a followed host's view from which the host that follows it reads the store itself, in milliseconds. */
    readonly maxFollowedMs: number;
    /** Age up to which another host's view helps a host that the store doesn't answer, in milliseconds. */
    readonly maxHelperMs: number;
    /** Longest wait of a followed host's own watch at the store, in milliseconds. */
    readonly maxWaitMs: number;
}

/** Time that a host needs to read the store itself once it has noticed that a view is too old, in milliseconds. */
const FALL_BACK_MS = 1000;
/**
 * Time for which a follower's view may go unconfirmed beside the wait of the followed host's watch, in milliseconds: the
 * pause between two watch calls, the wait of the follower's request and the pause after it.
 */
const CYCLE_RESERVE_MS = 1300;
/** Shortest wait of a watch, in milliseconds. */
const MIN_WAIT_MS = 100;

/**
 * Chooses how old the view of a followed host may be, so that a host that follows one without a path to the store still
 * applies a change in time: it notices, and reads the store itself.
 *
 * @param applyMs - Time within which an accepted change must be in force at every host, in milliseconds
 * @returns the ages
 *
 * @example
 * chooseViewAges(4000); // { mayFollow: true, maxFollowedMs: 3000, maxHelperMs: 4000, maxWaitMs: 1700 }
 */
export function chooseViewAges(applyMs: number): ViewAges {
    const maxFollowedMs = applyMs - FALL_BACK_MS;
    const maxWaitMs = maxFollowedMs - CYCLE_RESERVE_MS;
    return { mayFollow: maxWaitMs >= MIN_WAIT_MS, maxFollowedMs, maxHelperMs: applyMs, maxWaitMs };
}
