import { createModelCost } from "./createModelCost.js";
import type { ModelChoice } from "./createModelCost.js";
import type { ModelEngineView } from "./engineView.js";

/** Engines of which a host asks for news before it chooses one; more than two of them add little. */
const CANDIDATES = 4;
/** Width of the random spread, in milliseconds; hosts that know equally little don't all ask the same engines. */
const SPREAD_MS = 30;

/**
 * Picks the few engines that a generation may go to, so that a host needs news of these alone.
 *
 * @param choice - The engines, the adapter's order and the time
 * @param draw - Gives numbers in [0, 1)
 * @returns the engines, the cheapest as far as known
 *
 * @example
 * const candidates = pickCandidates(choice, () => random.next());
 */
export function pickCandidates(choice: ModelChoice, draw: () => number): readonly ModelEngineView[] {
    if (choice.engines.length <= CANDIDATES) {
        return choice.engines;
    }
    const weigh = createModelCost(choice);
    return choice.engines
        .map(view => ({ view, cost: weigh(view) + draw() * SPREAD_MS }))
        .sort((a, b) => a.cost - b.cost)
        .slice(0, CANDIDATES)
        .map(({ view }) => view);
}
