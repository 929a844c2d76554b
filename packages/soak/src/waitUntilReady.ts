import { setTimeout as wait } from "node:timers/promises";
import type { SoakFleet } from "./startSoakFleet.js";

/** Interval between readiness checks, in milliseconds. */
const POLL_MS = 50;

/**
 * Waits until every host of a fleet reports that it is ready.
 *
 * @param fleet - Fleet whose hosts are checked
 * @param timeoutMs - Longest wait, in milliseconds
 * @returns whether all hosts became ready in time
 *
 * @example
 * if (!await waitUntilReady(fleet, 15_000)) { ... }
 */
export async function waitUntilReady(fleet: SoakFleet, timeoutMs: number): Promise<boolean> {
    const endsAtMs = performance.now() + timeoutMs;
    while (performance.now() < endsAtMs) {
        const ready = await Promise.all(fleet.fronts.map(front => front.isReady()));
        if (ready.every(Boolean)) {
            return true;
        }
        await wait(POLL_MS);
    }
    return false;
}
