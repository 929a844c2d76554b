import type { EngineId, HostId } from "@fulmarcleat/ids";

/** An engine that this host owns and the host that is preferred as its owner. */
export interface OwnedEngine {
    readonly engine: EngineId;
    readonly preferred: HostId | undefined;
    /** When that host became the preferred owner, in milliseconds. */
    readonly preferredSinceMs: number;
}

/** The deciding host and the times that limit how often it hands over engines. */
export interface HandoverTimes {
    readonly self: HostId;
    readonly nowMs: number;
    /** When the last engine was handed over, in milliseconds. */
    readonly lastMs: number;
}

/** Time for which another host must have been the preferred owner before a handover, in milliseconds. */
const STABLE_PREFERENCE_MS = 30_000;
/** Shortest time between two handovers of one host, in milliseconds. */
const MIN_HANDOVER_INTERVAL_MS = 10_000;

/**
 * Chooses the next engine to hand over to its preferred host.
 *
 * Engines are handed over one at a time, and only to a host that has been preferred for a minimum time.
 *
 * @param owned - Engines that this host owns
 * @param times - This host, the current time and the time of the last handover
 * @returns the engine, or undefined if no handover is due
 *
 * @example
 * const engine = chooseHandover(owned, { self, nowMs, lastMs });
 */
export function chooseHandover(owned: readonly OwnedEngine[], times: HandoverTimes): EngineId | undefined {
    const { self, nowMs, lastMs } = times;
    if (nowMs - lastMs < MIN_HANDOVER_INTERVAL_MS) {
        return undefined;
    }
    return owned.find(candidate =>
        candidate.preferred !== undefined && candidate.preferred !== self
        && nowMs - candidate.preferredSinceMs >= STABLE_PREFERENCE_MS
    )?.engine;
}
