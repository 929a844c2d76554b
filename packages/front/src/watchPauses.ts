import type { Clock } from "@fulmarcleat/ids";

/** How often the clocks are compared, in milliseconds. */
const CHECK_MS = 250;
/** A check that comes later than this after it was due shows that the process stood still, in milliseconds. */
const PAUSE_MS = 700;

/**
 * Tells when the process stood still, such as a frozen host.
 *
 * @param clock - The clock
 * @param onPause - Called after each pause with its length in milliseconds
 * @returns nothing
 *
 * @example
 * watchPauses(clock, pausedMs => session.distrust());
 */
export function watchPauses(clock: Clock, onPause: (pausedMs: number) => void): void {
    const checkedMs = clock.nowMs();
    const checkedWallMs = clock.wallMs();
    clock.setTimer(CHECK_MS, () => {
        const lateMs = clock.nowMs() - checkedMs - CHECK_MS;
        // A suspended host's steady clock may stand still; its time of day goes on.
        const lateWallMs = clock.wallMs() - checkedWallMs - CHECK_MS;
        if (Math.max(lateMs, lateWallMs) > PAUSE_MS) {
            onPause(Math.max(lateMs, lateWallMs));
        }
        watchPauses(clock, onPause);
    });
}
