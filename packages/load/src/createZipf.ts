/**
 * Creates a source of indices in which the first is drawn most often, by Zipf's law.
 *
 * @param count - How many indices there are
 * @param exponent - How steeply the frequencies fall; 0 draws all alike
 * @param random - Source of numbers from 0 up to 1
 * @returns a function that draws an index from 0
 *
 * @example
 * const draw = createZipf(3000, 1, createRandom(7));
 */
export function createZipf(count: number, exponent: number, random: () => number): () => number {
    const sums: number[] = [];
    let total = 0;
    for (let rank = 1; rank <= count; rank += 1) {
        total += rank ** -exponent;
        sums.push(total);
    }
    return () => findFirst(sums, random() * total);
}

function findFirst(sums: readonly number[], wanted: number): number {
    let low = 0;
    let high = sums.length - 1;
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if ((sums[middle] ?? 0) > wanted) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
