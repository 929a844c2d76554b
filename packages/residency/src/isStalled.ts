import type { ResidencyState } from "./residencyState.js";

/**
 * Tells whether an engine's owner knows that it can't order an adapter load soon: the engine loads its model, which takes
 * seconds.
 *
 * @param state - State of the engine that its owner maintains
 * @returns true if load requests for adapters that the engine lacks wait in vain
 *
 * @example
 * if (isStalled(state)) { ... }
 */
export function isStalled({ modelPhase }: ResidencyState): boolean {
    return modelPhase === "absent" || modelPhase === "loading";
}
