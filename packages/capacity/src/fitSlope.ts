/** One measured value with the size at which it was measured. */
export interface Reading {
    readonly size: number;
    readonly value: number;
}

/** Straight line fitted to a set of readings. */
export interface Slope {
    /** Growth of the value for each unit of size. */
    readonly perUnit: number;
    /** Value at size 0. */
    readonly fixed: number;
}

/**
 * Fits a straight line to readings by least squares.
 *
 * @param readings - Readings at two different sizes or more
 * @returns the slope and the intercept of the line
 * @throws RangeError when all readings have the same size, or there are none
 *
 * @example
 * fitSlope([{ size: 1, value: 3 }, { size: 2, value: 5 }]); // { perUnit: 2, fixed: 1 }
 */
export function fitSlope(readings: readonly Reading[]): Slope {
    const meanSize = computeMean(readings.map(reading => reading.size));
    const meanValue = computeMean(readings.map(reading => reading.value));
    const squaredDeviations = sum(readings.map(reading => (reading.size - meanSize) ** 2));
    if (squaredDeviations === 0) {
        throw new RangeError("a slope needs readings at two sizes or more");
    }
    const perUnit = sum(readings.map(reading => (reading.size - meanSize) * (reading.value - meanValue)))
        / squaredDeviations;
    return { perUnit, fixed: meanValue - perUnit * meanSize };
}

function computeMean(values: readonly number[]): number {
    return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
