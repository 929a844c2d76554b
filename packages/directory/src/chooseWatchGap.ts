/** Longest pause between two calls of a watch, in milliseconds; engines that leave serve on for 2 s or longer. */
const LONGEST_GAP_MS = 1500;

/**
 * Chooses the pause between two calls of a watch, so that all hosts together call the store about as often however
 * many they are.
 *
 * @param hosts - Live hosts
 * @param leastMs - Shortest pause, in milliseconds
 * @param perHostMs - Pause for each host, in milliseconds
 * @returns milliseconds
 *
 * @example
 * chooseWatchGap(84, 350, 18); // 1500
 */
export function chooseWatchGap(hosts: number, leastMs: number, perHostMs: number): number {
    return Math.min(LONGEST_GAP_MS, Math.max(leastMs, hosts * perHostMs));
}
