import type { EngineDriver } from "@fulmarcleat/drivers";
import type { OwnableEngine } from "@fulmarcleat/ownership";
import type { PolicySpec } from "@fulmarcleat/resources";
import type { ConfiguredEngine } from "./buildOfferIndex.js";

/**
 * Lists the configured engines with the limits that the policy sets for them.
 *
 * @param engines - Engines of the configuration
 * @param policy - Policy in force
 * @param ensureDriver - Finds an engine's driver
 * @returns the engines that a host may own
 *
 * @example
 * const ownable = listOwnable(index.engines, readPolicy(snapshot), ensureDriver);
 */
export function listOwnable(
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
