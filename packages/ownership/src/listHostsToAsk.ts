import type { HostId } from "@fulmarcleat/ids";
import type { EngineState } from "./engineState.js";

/** Age after which a place is confirmed with its holder, and shortest time between two queries, in milliseconds. */
const CONFIRM_AFTER_MS = 10_000;

/**
 * Lists the hosts that an owner must query for their held places.
 *
 * These are the hosts that have not reported since the takeover, and the holders of old places, because the
 * message that ends a place may have been lost.
 *
 * @param state - Current state of the engine
 * @param lastQueriedMs - When each host was last queried, in milliseconds
 * @param nowMs - Current time, in milliseconds
 * @returns the hosts, without duplicates
 *
 * @example
 * listHostsToAsk(task.state, lastQueriedMs, clock.nowMs()).forEach(host => queryHeldPlaces(host));
 */
export function listHostsToAsk(
    state: EngineState,
    lastQueriedMs: ReadonlyMap<HostId, number>,
    nowMs: number,
): readonly HostId[] {
    if (state.phase !== "owned") {
        return [];
    }
    const holders = state.places.filter(place => nowMs - place.grantedMs >= CONFIRM_AFTER_MS).map(place => place.host);
    const due = holders.filter(host => nowMs - (lastQueriedMs.get(host) ?? 0) >= CONFIRM_AFTER_MS);
    return [...new Set([...state.takeover?.unansweredHosts ?? [], ...due])];
}
