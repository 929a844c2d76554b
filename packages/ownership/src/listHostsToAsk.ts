import type { HostId } from "@fulmarcleat/ids";
import type { EngineState } from "./engineState.js";

/** Age from which a place is confirmed with its holder, in milliseconds. */
const CONFIRM_AFTER_MS = 10_000;

/**
 * Lists the hosts whose word on their places an owner needs: those that have not given it, and the
 * holders of old places, whose end may have been lost.
 *
 * @param state - The engine
 * @param lastAskedMs - When each host was last asked, in milliseconds
 * @param nowMs - The present, in milliseconds
 * @returns the hosts
 *
 * @example
 * listHostsToAsk(task.state, lastAskedMs, clock.nowMs()).forEach(host => inquire(host));
 */
export function listHostsToAsk(
    state: EngineState,
    lastAskedMs: ReadonlyMap<HostId, number>,
    nowMs: number,
): readonly HostId[] {
    if (state.phase !== "owned") {
        return [];
    }
    const holders = state.places.filter(place => nowMs - place.grantedMs >= CONFIRM_AFTER_MS).map(place => place.host);
    const due = holders.filter(host => nowMs - (lastAskedMs.get(host) ?? 0) >= CONFIRM_AFTER_MS);
    return [...new Set([...state.inheritance?.unansweredHosts ?? [], ...due])];
}
