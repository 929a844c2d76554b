/** Most that one sample changes an estimate by, as a factor. */
const MAX_STEP_FACTOR = 1.5;

/**
 * Limits how far an estimate moves with one sample.
 *
 * @param former - Estimate so far; undefined before the first
 * @param target - What the samples say; undefined if they say nothing
 * @returns the new estimate
 *
 * @example
 * limitStep(10, 40); // 15
 */
export function limitStep(former: number | undefined, target: number | undefined): number | undefined {
    return former === undefined || target === undefined
        ? target ?? former
        : Math.min(former * MAX_STEP_FACTOR, Math.max(former / MAX_STEP_FACTOR, target));
}
