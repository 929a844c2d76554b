import type { Reading, Slope } from "./fitSlope.js";

/** A figure that grows with a size, as measured. */
export interface CapacityMeasure {
    readonly name: string;
    /** What the size counts, such as `adapters`. */
    readonly size: string;
    /** Unit of the value, such as `us` or `bytes`. */
    readonly unit: string;
    readonly readings: readonly Reading[];
    readonly slope: Slope;
}
