import type { LearnedPace, PaceQuantity } from "./learnedPace.js";

/** Medians over the engines of a service; undefined where no engine has a value. */
export type PaceMedians = Readonly<Record<PaceQuantity, number | undefined>>;

/** Nothing is known of a service's engines. */
export const NO_MEDIANS: PaceMedians = { tokenMs: undefined, eventMs: undefined, idleMs: undefined, workMs: undefined };

/**
 * Computes the medians of what was learned of a service's engines.
 *
 * @param engines - What was learned of each engine
 * @returns the medians
 *
 * @example
 * const medians = computeMedians([first, second, third]);
 */
export function computeMedians(engines: readonly LearnedPace[]): PaceMedians {
    const find = (quantity: PaceQuantity): number | undefined => {
        const values = engines.flatMap(engine => engine[quantity] ?? []).sort((first, second) => first - second);
        return values[Math.floor((values.length - 1) / 2)];
    };
    return { tokenMs: find("tokenMs"), eventMs: find("eventMs"), idleMs: find("idleMs"), workMs: find("workMs") };
}
