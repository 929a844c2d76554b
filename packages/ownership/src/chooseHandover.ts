import type { EngineId, HostId } from "@fulmarcleat/ids";

/** An engine that this host owns, and which host it should have. */
export interface OwnedEngine {
    readonly engine: EngineId;
    readonly preferred: HostId | undefined;
    /** Since when that host has been the engine's first choice, in milliseconds. */
    readonly preferredSinceMs: number;
}

/** Times of the rebalancing of engines. */
export interface HandoverTimes {
    readonly self: HostId;
    readonly nowMs: number;
    /** When the last engine was handed over, in milliseconds. */
    readonly lastMs: number;
}

/** How long another host must have been the first choice, in milliseconds. */
const STEADY_MS = 30_000;
/** Shortest time between two handovers of one host, in milliseconds. */
const HANDOVER_GAP_MS = 10_000;

/**
 * Chooses the next engine to hand to a host that has come: one at a time, and only to a steady host.
 *
 * @param owned - Engines that this host owns
 * @param times - The present and the last handover
 * @returns the engine, or undefined where none is due
 *
 * @example
 * const engine = chooseHandover(owned, { self, nowMs, lastMs });
 */
export function chooseHandover(owned: readonly OwnedEngine[], times: HandoverTimes): EngineId | undefined {
    const { self, nowMs, lastMs } = times;
    if (nowMs - lastMs < HANDOVER_GAP_MS) {
        return undefined;
    }
    return owned.find(entry =>
        entry.preferred !== undefined && entry.preferred !== self && nowMs - entry.preferredSinceMs >= STEADY_MS
    )?.engine;
}
