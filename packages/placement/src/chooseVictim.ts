import type { InstanceName } from "@fulmarcleat/ids";

/** Inputs to the choice of an instance to evict, for one loaded instance. */
export interface ResidentInstance {
    readonly instance: InstanceName;
    /** Batch slots held on it and requests that may still run on it; it may be evicted at 0 only. */
    readonly pins: number;
    /** Requests per second; decays over time. */
    readonly ratePerSecond: number;
    readonly lastUsedMs: number;
    /** Number of requests that wait for the instance. */
    readonly waiting: number;
}

/**
 * Chooses which instance to evict: the one with the least demand among those not in use or waited for.
 *
 * @param residents - Loaded instances of the engine
 * @returns the instance to evict, or undefined if none can be evicted
 *
 * @example
 * const victim = chooseVictim(residents);
 */
export function chooseVictim(residents: readonly ResidentInstance[]): InstanceName | undefined {
    const evictable = residents.filter(resident => resident.pins === 0 && resident.waiting === 0);
    const [first] = [...evictable].sort((a, b) => a.ratePerSecond - b.ratePerSecond || a.lastUsedMs - b.lastUsedMs);
    return first?.instance;
}
