import type { ResidencyState } from "./residencyState.js";

/**
 * Tells whether an engine's owner knows that it can't order an adapter load soon: the engine loads its model, or hasn't
 * answered the last order.
 *
 * @param state - State of the engine that its owner maintains
 * @returns true if load requests for adapters that the engine lacks wait in vain
 *
 * @example
 * if (isStalled(state)) { ... }
 */
export function isStalled({ isOrderUnanswered, modelPhase }: ResidencyState): boolean {
    return isOrderUnanswered || modelPhase === "absent" || modelPhase === "loading";
}
