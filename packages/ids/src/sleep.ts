import type { Clock } from "./clock.js";

/**
 * Waits for a time on an injected clock.
 *
 * @param clock - Clock whose timer is used
 * @param delayMs - Time to wait, in milliseconds
 * @returns a promise that resolves after the delay
 *
 * @example
 * await sleep(clock, 200);
 */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
    return new Promise(resolve => {
        clock.setTimer(delayMs, resolve);
    });
}
