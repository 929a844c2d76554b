/** Number of unmeasured calls that warm up the code, as a fraction of the measured calls. */
const WARM_UP_FRACTION = 0.1;

/**
 * Measures the average processor time of a call.
 *
 * @param calls - Number of calls to measure, after a warm-up
 * @param run - Function to call; receives the index of the call
 * @returns user and system time per call, in microseconds
 *
 * @example
 * const perFrameUs = measureCpu(10_000, () => encodeFrame(frame));
 */
export function measureCpu(calls: number, run: (call: number) => void): number {
    repeat(Math.ceil(calls * WARM_UP_FRACTION), run);
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
