import type { InstanceName } from "@fulmarcleat/ids";

/** What replacement knows of a loaded instance. */
export interface ResidentInstance {
    readonly instance: InstanceName;
    /** Places, credits and unexplained running requests that hold it. */
    readonly pins: number;
    /** Requests a second, decayed. */
    readonly ratePerSecond: number;
    readonly lastUsedMs: number;
    /** Requests that wait for it. */
    readonly waiting: number;
}

/**
 * Chooses which instance to evict: never one that is held or waited for, else the one with the least demand.
 *
 * @param residents - Loaded instances
 * @returns the instance to evict, or undefined where each is held
 *
 * @example
 * const victim = chooseVictim(residents);
 */
export function chooseVictim(residents: readonly ResidentInstance[]): InstanceName | undefined {
    const free = residents.filter(resident => resident.pins === 0 && resident.waiting === 0);
    const [first] = [...free].sort((a, b) => a.ratePerSecond - b.ratePerSecond || a.lastUsedMs - b.lastUsedMs);
    return first?.instance;
}
