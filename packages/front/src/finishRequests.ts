import { sleep } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";

/** What a stopping host waits for and does before it exits. */
export interface FinishOptions {
    readonly clock: Clock;
    /** Returns the number of clients' requests in flight. */
    readonly countRunning: () => number;
    /** Closes the clients' connections that no request is in flight on. */
    readonly closeIdle: () => void;
    /** Gives up what the host holds elsewhere; takes a call to the store. */
    readonly release: () => Promise<void>;
    /** Clock reading at which requests in flight are no longer waited for, in milliseconds. */
    readonly limitMs: number;
}

/** Interval at which a stop checks for requests in flight, in milliseconds. */
const STOP_POLL_MS = 50;

/**
 * Waits until a stopping host has no request in flight, and releases what it holds. Clients may send requests until the
 * process is gone, so the last look at the requests in flight is the last step: the caller exits in the same turn of the
 * event loop.
 *
 * @param options - What to wait for, and what to release
 * @returns nothing
 *
 * @example
 * await finishRequests({ clock, countRunning: () => handler.running, closeIdle, release, limitMs });
 */
export async function finishRequests(
    { clock, countRunning, closeIdle, release, limitMs }: FinishOptions,
): Promise<void> {
    const waitForRequests = async (): Promise<void> => {
        closeIdle();
        while (countRunning() > 0 && clock.nowMs() < limitMs) {
            await sleep(clock, STOP_POLL_MS);
            closeIdle();
        }
    };
    await waitForRequests();
    await release();
    await waitForRequests();
}
