/** Maximum interval between two watch calls, in milliseconds; engines that stop keep serving for 2 s or longer. */
const MAX_WATCH_INTERVAL_MS = 1500;

/**
 * Chooses the interval between two watch calls, which grows with the number of hosts so that their total call rate
 * stays about the same.
 *
 * @param hosts - Number of live hosts
 * @param minMs - Minimum interval, in milliseconds
 * @param perHostMs - Interval per host, in milliseconds
 * @returns the interval in milliseconds
 *
 * @example
 * chooseWatchInterval(84, 350, 18); // 1500
 */
export function chooseWatchInterval(hosts: number, minMs: number, perHostMs: number): number {
    return Math.min(MAX_WATCH_INTERVAL_MS, Math.max(minMs, hosts * perHostMs));
}
