/** One reading: what was measured at a size. */
export interface Reading {
    readonly size: number;
    readonly value: number;
}

/** The straight line nearest to a set of readings. */
export interface Slope {
    /** Growth of the value with each unit of size. */
    readonly perUnit: number;
    /** Value at size 0. */
    readonly fixed: number;
}

/**
 * Fits a straight line to readings by least squares.
 *
 * @param readings - At least two readings at different sizes
 * @returns the line
 * @throws RangeError where fewer than two sizes were read
 *
 * @example
 * fitSlope([{ size: 1, value: 3 }, { size: 2, value: 5 }]); // { perUnit: 2, fixed: 1 }
 */
export function fitSlope(readings: readonly Reading[]): Slope {
    const meanSize = computeMean(readings.map(reading => reading.size));
    const meanValue = computeMean(readings.map(reading => reading.value));
    const spread = sum(readings.map(reading => (reading.size - meanSize) ** 2));
    if (spread === 0) {
        throw new RangeError("a slope needs readings at two sizes or more");
    }
    const perUnit = sum(readings.map(reading => (reading.size - meanSize) * (reading.value - meanValue))) / spread;
    return { perUnit, fixed: meanValue - perUnit * meanSize };
}

function computeMean(values: readonly number[]): number {
    return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
