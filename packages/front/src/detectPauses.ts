import { repeat } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Delay of a check beyond which the process counts as paused, in milliseconds. */
const MIN_PAUSE_MS = 700;

/**
 * Detects that the process was paused, such as by a frozen or suspended host.
 *
 * @param clock - Source of the monotonic and the wall-clock time
 * @param onPause - Called after each pause with its length in milliseconds
 * @returns nothing
 *
 * @example
 * detectPauses(clock, pausedMs => session.markUnverified());
 */
export function detectPauses(clock: Clock, onPause: (pausedMs: number) => void): void {
    let checkedMs = clock.nowMs();
    let checkedWallMs = clock.wallMs();
    repeat(clock, CHECK_INTERVAL_MS, () => {
        const lateMs = clock.nowMs() - checkedMs - CHECK_INTERVAL_MS;
        // The monotonic clock may stop while the host is suspended; the wall clock continues.
        const lateWallMs = clock.wallMs() - checkedWallMs - CHECK_INTERVAL_MS;
        checkedMs = clock.nowMs();
        checkedWallMs = clock.wallMs();
        if (Math.max(lateMs, lateWallMs) > MIN_PAUSE_MS) {
            onPause(Math.max(lateMs, lateWallMs));
        }
    });
}
