import type { FailureDomain } from "@fulmarcleat/ids";
import type { EngineView } from "./engineView.js";
import { estimateEngineCost } from "./estimateEngineCost.js";
import type { CostScale } from "./estimateEngineCost.js";
import { findCheapest } from "./findCheapest.js";

/** What a plain request's choice depends on. */
export interface PlainChoice {
    readonly engines: readonly EngineView[];
    readonly ownDomain: FailureDomain;
    readonly atMs: number;
    /** A number in [0, 1) that spreads hosts with the same view. */
    readonly draw: number;
}

const PLAIN_SCALE: CostScale = { idleFirstByteMs: 40, failureMs: 400, delayPerRequestMs: 8 };
/** Time that a change of failure domain costs, in milliseconds. */
const FAR_MS = 3;
/** Width of the random spread, in milliseconds. */
const SPREAD_MS = 6;

/**
 * Chooses the engine of a plain service for a request: short queues first, failing and silent ones last.
 *
 * @param choice - The engines and the time
 * @returns the engine, or undefined where there is none
 *
 * @example
 * const engine = choosePlainEngine({ engines, ownDomain, atMs, draw });
 */
export function choosePlainEngine(choice: PlainChoice): EngineView | undefined {
    const { engines, ownDomain, atMs, draw } = choice;
    return findCheapest(engines, (view, index) => {
        const spread = (draw + index / engines.length) % 1;
        return estimateEngineCost(view, PLAIN_SCALE, atMs)
            + (view.domain === ownDomain ? 0 : FAR_MS)
            + spread * SPREAD_MS;
    });
}
