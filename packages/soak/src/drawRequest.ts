import type { Random } from "@fulmarcleat/ids";
import type { SoakRequest } from "./sendRequest.js";
import { drawCredentials } from "./soakAccounts.js";
import { HOST_NAME, MODEL } from "./startSoakFleet.js";
import type { SoakFleet } from "./startSoakFleet.js";

/** Longest time until a declared version is in effect, in milliseconds; the platform states 5 s. */
export const VERSION_TIMEOUT_MS = 5000;

/** Id, deadline and range of a request that is drawn. */
export interface RequestRange {
    readonly id: string;
    readonly deadlineMs: number;
    /** Number of adapters that clients request. */
    readonly adapters: number;
}

/** Share of the requests of a fleet with accounts that need no key. */
const ANONYMOUS_SHARE = 0.1;

/**
 * Draws a request of a client, for any route of the fleet.
 *
 * @param random - Seeded random number generator
 * @param fleet - Fleet that the request is for
 * @param range - Id, deadline and range
 * @returns the request
 *
 * @example
 * const req = drawRequest(random, fleet, { id: "7-1", deadlineMs: 4000, adapters: 24 });
 */
export function drawRequest(random: Random, fleet: SoakFleet, range: RequestRange): SoakRequest {
    const { id, deadlineMs } = range;
    const share = random.next();
    const adapter = drawAdapter(random, range.adapters);
    const credentials = fleet.keys === undefined
        ? {}
        : { ...drawCredentials(random), configAgeMs: findConfigAge(fleet) };
    const base = { id, hostName: HOST_NAME, deadlineMs, body: "", minVersion: 0, ...credentials };
    if (fleet.keys !== undefined && share < ANONYMOUS_SHARE) {
        return { ...base, kind: "safe", path: `/open/${id}`, isAnonymous: true };
    }
    if (share < 0.25) {
        return { ...base, kind: "safe", path: `/status/${id}` };
    }
    if (share < 0.5) {
        return { ...base, kind: "unsafe", path: `/orders/${id}`, body: `order ${id}` };
    }
    const declared = fleet.versions.get(adapter);
    const isInEffect = declared !== undefined && performance.now() - declared.sinceMs > VERSION_TIMEOUT_MS;
    return {
        ...base,
        kind: "streaming",
        path: `/answers/${id}`,
        generation: { model: MODEL, adapter, events: 1 + Math.floor(30 * random.next()) },
        minVersion: isInEffect && fleet.isFaultFree(VERSION_TIMEOUT_MS) ? declared.version : 0,
    };
}

/**
 * Creates a request for a lookup with a key.
 *
 * @param fleet - Fleet that the request is for
 * @param apiKey - Key of the client
 * @param range - Id and deadline
 * @returns the request
 *
 * @example
 * const req = createLookup(fleet, key, { id: "7-1", deadlineMs: 4000 });
 */
export function createLookup(
    fleet: SoakFleet,
    apiKey: string,
    { id, deadlineMs }: Omit<RequestRange, "adapters">,
): SoakRequest {
    return {
        id,
        kind: "safe",
        hostName: HOST_NAME,
        path: `/status/${id}`,
        body: "",
        deadlineMs,
        minVersion: 0,
        apiKey,
        configAgeMs: findConfigAge(fleet),
    };
}

/** Returns for how long hosts may have been without the newest configuration, in milliseconds. */
function findConfigAge(fleet: SoakFleet): number {
    return fleet.isFaultFree(VERSION_TIMEOUT_MS) ? 0 : fleet.maxConfigAgeMs;
}

/**
 * Draws an adapter; those with low numbers are drawn more often.
 *
 * @param random - Seeded random number generator
 * @param adapters - Number of adapters
 * @returns name of the adapter
 *
 * @example
 * fleet.publishNewVersion(drawAdapter(random, 24));
 */
export function drawAdapter(random: Random, adapters: number): string {
    return `a${1 + Math.floor(adapters * random.next() ** 2)}`;
}
