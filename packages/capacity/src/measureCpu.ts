const WARM_UP_SHARE = 0.1;

/**
 * Measures the processor time of one call, over many.
 *
 * @param calls - How many calls to make
 * @param run - The call; gets its number
 * @returns microseconds of processor time a call
 *
 * @example
 * const perFrameUs = measureCpu(10_000, () => encodeFrame(frame));
 */
export function measureCpu(calls: number, run: (call: number) => void): number {
    repeat(Math.ceil(calls * WARM_UP_SHARE), run);
    const before = process.cpuUsage();
    repeat(calls, run);
    const used = process.cpuUsage(before);
    return (used.user + used.system) / calls;
}

function repeat(calls: number, run: (call: number) => void): void {
    for (let call = 0; call < calls; call += 1) {
        run(call);
    }
}
