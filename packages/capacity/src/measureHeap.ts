/**
 * Measures the heap that a value retains; requires `node --expose-gc`.
 *
 * @param build - Creates the value
 * @returns the retained heap in bytes
 * @throws Error when garbage collection can't be triggered because `--expose-gc` is missing
 *
 * @example
 * const bytes = measureHeap(() => buildSnapshot(1000));
 */
export function measureHeap(build: () => unknown): number {
    const before = readHeap();
    const retained = [build()];
    const after = readHeap();
    return retained.length === 1 ? after - before : 0;
}

function readHeap(): number {
    if (globalThis.gc === undefined) {
        throw new Error("measuring the heap requires node --expose-gc");
    }
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}
