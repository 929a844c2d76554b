/** What the wait for a load depends on. */
export interface LoadQueue {
    /** Adapters that load before the one asked for. */
    readonly loadsAhead: number;
    /** Loads that the host may start a second. */
    readonly loadsPerSecond: number;
    /** Time of one load, in milliseconds. */
    readonly loadMs: number;
}

const MS_PER_SECOND = 1000;

/**
 * Estimates how long a request waits for its adapter.
 *
 * @param queue - Loads ahead and their pace
 * @returns the wait in milliseconds
 *
 * @example
 * estimateLoadWait({ loadsAhead: 2, loadsPerSecond: 0.5, loadMs: 500 }); // 4500
 */
export function estimateLoadWait({ loadsAhead, loadsPerSecond, loadMs }: LoadQueue): number {
    return Math.round(loadsAhead * MS_PER_SECOND / loadsPerSecond) + loadMs;
}
