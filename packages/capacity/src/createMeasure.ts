import type { CapacityMeasure } from "./capacityMeasure.js";
import { fitSlope } from "./fitSlope.js";

/** Labels of a measure in the printed and the JSON output. */
export interface MeasureLabels {
    readonly name: string;
    /** Unit of the size, such as `adapters`. */
    readonly size: string;
    /** Unit of the value, such as `us` or `bytes`. */
    readonly unit: string;
}

/**
 * Measures a quantity at several sizes and fits the slope of its growth.
 *
 * @param labels - Name and units of the measure
 * @param sizes - Sizes to measure at; at least two different ones
 * @param read - Measures the quantity at one size
 * @returns the measure, with its readings and slope
 *
 * @example
 * createMeasure({ name: "snapshot heap", size: "adapters", unit: "bytes" }, [1000, 10_000], readHeapAt);
 */
export function createMeasure(
    labels: MeasureLabels,
    sizes: readonly number[],
    read: (size: number) => number,
): CapacityMeasure {
    const readings = sizes.map(size => ({ size, value: read(size) }));
    return { ...labels, readings, slope: fitSlope(readings) };
}
