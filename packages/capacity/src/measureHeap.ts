/**
 * Measures the heap that a value keeps alive.
 *
 * @param build - Makes the value
 * @returns bytes of heap; needs node's `--expose-gc`
 * @throws Error where garbage can't be collected on demand
 *
 * @example
 * const bytes = measureHeap(() => buildSnapshot(1000));
 */
export function measureHeap(build: () => unknown): number {
    const before = readHeap();
    const kept = [build()];
    const after = readHeap();
    return kept.length === 1 ? after - before : 0;
}

function readHeap(): number {
    if (globalThis.gc === undefined) {
        throw new Error("run with node --expose-gc");
    }
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}
