import type { ConfigSnapshot } from "./configSnapshot.js";
import { listResources } from "./listResources.js";
import { DEFAULT_POLICY } from "./schemas.js";
import type { PolicySpec } from "./schemas.js";

/**
 * Reads the deployment's policy.
 *
 * @param snapshot - The snapshot
 * @returns the policy's spec, or the default where an operator named none
 *
 * @example
 * const { queueLimit } = readPolicy(snapshot);
 */
export function readPolicy(snapshot: ConfigSnapshot): PolicySpec {
    return listResources(snapshot, "Policy")[0]?.spec ?? DEFAULT_POLICY;
}
