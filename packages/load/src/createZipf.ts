/**
 * Creates a function that draws indices with frequencies that follow Zipf's law; index 0 is the most frequent.
 *
 * @param count - Number of indices
 * @param exponent - Exponent of the distribution; 0 is uniform
 * @param random - Returns random numbers from 0 (inclusive) to 1 (exclusive)
 * @returns a function that draws an index from 0 to `count` - 1
 *
 * @example
 * const draw = createZipf(3000, 1, createRandom(7));
 */
export function createZipf(count: number, exponent: number, random: () => number): () => number {
    const cumulativeWeights: number[] = [];
    let total = 0;
    for (let rank = 1; rank <= count; rank += 1) {
        total += rank ** -exponent;
        cumulativeWeights.push(total);
    }
    return () => findFirstAbove(cumulativeWeights, random() * total);
}

function findFirstAbove(cumulativeWeights: readonly number[], threshold: number): number {
    let low = 0;
    let high = cumulativeWeights.length - 1;
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if ((cumulativeWeights[middle] ?? 0) > threshold) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
