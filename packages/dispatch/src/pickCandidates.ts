import { createModelCost } from "./createModelCost.js";
import type { ModelEngineOptions } from "./createModelCost.js";
import type { ModelEngineView } from "./engineView.js";

/** Engines whose state a host queries before it chooses one; more than two add little. */
const CANDIDATES = 4;
/** Range of the random cost, in milliseconds; keeps hosts with little information from picking the same engines. */
const SPREAD_MS = 30;

/**
 * Picks a few engines that a generation may be sent to, so that a host queries the state of these only.
 *
 * @param options - Engines, their rendezvous order for the adapter, load time and policy
 * @param draw - Returns random numbers in [0, 1)
 * @returns the engines with the lowest estimated cost
 *
 * @example
 * const candidates = pickCandidates(options, () => random.next());
 */
export function pickCandidates(options: ModelEngineOptions, draw: () => number): readonly ModelEngineView[] {
    if (options.engines.length <= CANDIDATES) {
        return options.engines;
    }
    const computeCost = createModelCost(options);
    return options.engines
        .map(view => ({ view, cost: computeCost(view) + draw() * SPREAD_MS }))
        .sort((a, b) => a.cost - b.cost)
        .slice(0, CANDIDATES)
        .map(({ view }) => view);
}
