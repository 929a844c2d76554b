import type { FailureDomain } from "@fulmarcleat/ids";
import type { EngineView } from "./engineView.js";
import { estimateEngineCost } from "./estimateEngineCost.js";
import type { CostScale } from "./estimateEngineCost.js";
import { findCheapest } from "./findCheapest.js";

/** Inputs to the choice of an engine for a plain request. */
export interface PlainEngineOptions {
    readonly engines: readonly EngineView[];
    readonly ownDomain: FailureDomain;
    readonly atMs: number;
    /** Random number in [0, 1); spreads requests of hosts that have the same view. */
    readonly draw: number;
}

const PLAIN_SCALE: CostScale = { idleFirstByteMs: 40, failureMs: 400, delayPerRequestMs: 8 };
/** Cost of sending to another failure domain, in milliseconds. */
const CROSS_DOMAIN_MS = 3;
/** Range of the random cost that spreads requests over engines of equal cost, in milliseconds. */
const SPREAD_MS = 6;

/**
 * Chooses the engine of a plain service for a request: short queues first, failing and unresponsive engines last.
 *
 * @param options - Engines, the host's failure domain, current time and a random number
 * @returns the engine, or undefined if there are no engines
 *
 * @example
 * const engine = choosePlainEngine({ engines, ownDomain, atMs, draw });
 */
export function choosePlainEngine(options: PlainEngineOptions): EngineView | undefined {
    const { engines, ownDomain, atMs, draw } = options;
    return findCheapest(engines, (view, index) => {
        const spread = (draw + index / engines.length) % 1;
        return estimateEngineCost(view, PLAIN_SCALE, atMs)
            + (view.domain === ownDomain ? 0 : CROSS_DOMAIN_MS)
            + spread * SPREAD_MS;
    });
}
