/** Inputs to the wait for an adapter load. */
export interface LoadQueue {
    /** Number of adapters that load before the requested one. */
    readonly loadsAhead: number;
    /** Loads that the host may start per second. */
    readonly loadsPerSecond: number;
    /** Duration of one load, in milliseconds. */
    readonly loadMs: number;
}

const MS_PER_SECOND = 1000;

/**
 * Estimates how long a request waits for its adapter.
 *
 * @param queue - Loads ahead, their rate and the duration of a load
 * @returns the wait in milliseconds
 *
 * @example
 * estimateLoadWait({ loadsAhead: 2, loadsPerSecond: 0.5, loadMs: 500 }); // 4500
 */
export function estimateLoadWait({ loadsAhead, loadsPerSecond, loadMs }: LoadQueue): number {
    return Math.round(loadsAhead * MS_PER_SECOND / loadsPerSecond) + loadMs;
}
