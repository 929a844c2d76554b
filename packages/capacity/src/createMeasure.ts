import type { CapacityMeasure } from "./capacityMeasure.js";
import { fitSlope } from "./fitSlope.js";

/** Names of a measure. */
export interface MeasureNames {
    readonly name: string;
    readonly size: string;
    readonly unit: string;
}

/**
 * Reads a figure at several sizes and fits its slope.
 *
 * @param names - What is measured
 * @param sizes - At which sizes
 * @param read - Reads the figure at one size
 * @returns the measure
 *
 * @example
 * createMeasure({ name: "snapshot heap", size: "adapters", unit: "bytes" }, [1000, 10_000], readHeapAt);
 */
export function createMeasure(
    names: MeasureNames,
    sizes: readonly number[],
    read: (size: number) => number,
): CapacityMeasure {
    const readings = sizes.map(size => ({ size, value: read(size) }));
    return { ...names, readings, slope: fitSlope(readings) };
}
