import type { Agent } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { createStreamRequest } from "./createStreamRequest.js";
import { sendRequest } from "./sendRequest.js";
import type { SoakAnswer } from "./sendRequest.js";
import type { SoakFleet } from "./startSoakFleet.js";
import { toTarget } from "./toTarget.js";

/** Longest time until a host serves an adapter for the first time, in milliseconds. */
const LOAD_TIMEOUT_MS = 8000;
/** Pause between the requests that wait for an adapter, in milliseconds. */
const RETRY_MS = 200;
const DEADLINE_MS = 5000;

/**
 * Sends requests until every host of a fleet has served every adapter.
 *
 * @param fleet - Fleet whose hosts are ready
 * @param adapters - Names of the adapters
 * @param agent - Connection pool of the client
 * @returns the answers to all requests that were sent
 *
 * @example
 * const warmUps = await loadAdapters(fleet, ["a1", "a2"], agent);
 */
export async function loadAdapters(
    fleet: SoakFleet,
    adapters: readonly string[],
    agent: Agent,
): Promise<readonly SoakAnswer[]> {
    const endsAtMs = performance.now() + LOAD_TIMEOUT_MS;
    const pairs = fleet.fronts.flatMap(front => adapters.map(adapter => ({ front, adapter })));
    const answers = pairs.map(async ({ front, adapter }) => {
        const received: SoakAnswer[] = [];
        while (received.at(-1)?.status !== 200 && performance.now() < endsAtMs) {
            const id = `warm-up-${front.host.name}-${adapter}-${received.length}`;
            const req = createStreamRequest({ id, adapter, events: 1, deadlineMs: DEADLINE_MS });
            received.push(await sendRequest(req, toTarget(front), agent));
            await wait(RETRY_MS);
        }
        return received;
    });
    return (await Promise.all(answers)).flat();
}
