import { setTimeout as wait } from "node:timers/promises";
import type { SoakFleet } from "./startSoakFleet.js";

/** How often hosts are asked whether they are ready, in milliseconds. */
const POLL_MS = 50;

/**
 * Waits until every host of a fleet says that it is ready.
 *
 * @param fleet - The fleet
 * @param timeoutMs - Longest wait, in milliseconds
 * @returns whether all were ready in time
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
