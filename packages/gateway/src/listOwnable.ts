import type { EngineDriver } from "@fulmarcleat/drivers";
import type { OwnableEngine } from "@fulmarcleat/ownership";
import type { PolicySpec } from "@fulmarcleat/resources";
import type { ConfiguredEngine } from "./buildOfferIndex.js";

/**
 * Lists the engines that this host may own, with the limits that the policy gives them.
 *
 * @param engines - The configured engines
 * @param policy - The deployment's policy
 * @param ensureDriver - Gives an engine's driver
 * @returns the engines
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
