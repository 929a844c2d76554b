import type { Reading, Slope } from "./fitSlope.js";

/** A measured quantity at several sizes, with the slope of its growth. */
export interface CapacityMeasure {
    readonly name: string;
    /** Unit of the size, such as `adapters`. */
    readonly size: string;
    /** Unit of the value, such as `us` or `bytes`. */
    readonly unit: string;
    readonly readings: readonly Reading[];
    readonly slope: Slope;
}
