import type { EngineDriver } from "@fulmarcleat/drivers";
import type { OwnableEngine } from "@fulmarcleat/ownership";
import type { PolicySpec } from "@fulmarcleat/resources";
import type { ConfiguredEngine } from "./buildOfferIndex.js";

/**
 * Lists the engines that this host may own, each with its limits under the policy.
 *
 * @param engines - Engines of the current configuration
 * @param policy - Policy in effect
 * @param ensureDriver - Returns the driver of an engine, created on first use
 * @returns the engines with drivers and limits
 *
 * @example
 * const engines = listOwnableEngines(index.engines, readPolicy(snapshot), ensureDriver);
 */
export function listOwnableEngines(
    engines: readonly ConfiguredEngine[],
    policy: PolicySpec,
    ensureDriver: (entry: ConfiguredEngine) => EngineDriver,
): readonly OwnableEngine[] {
    return engines.map(entry => ({
        engine: entry.engine,
        failureDomain: entry.failureDomain,
        driver: ensureDriver(entry),
        limits: {
            queueLimit: policy.queueLimit,
            callerQueueLimit: policy.callerQueueLimit,
            agingMs: policy.agingMs,
            maxRequestMs: policy.maxRequestMs,
            replicaRate: policy.replicaRate,
            batchSlots: policy.engineBatchSlots,
            adapterPlaces: policy.engineAdapterPlaces,
            fencing: entry.fencing,
            draining: entry.draining,
        },
    }));
}
