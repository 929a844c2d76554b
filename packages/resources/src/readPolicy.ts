import type { ConfigSnapshot } from "./configSnapshot.js";
import { listResources } from "./listResources.js";
import { DEFAULT_POLICY } from "./schemas.js";
import type { PolicySpec } from "./schemas.js";

/**
 * Reads the deployment's policy.
 *
 * @param snapshot - Snapshot to read
 * @returns the spec of the Policy resource, or the default if there is none
 *
 * @example
 * const { queueLimit } = readPolicy(snapshot);
 */
export function readPolicy(snapshot: ConfigSnapshot): PolicySpec {
    return listResources(snapshot, "Policy")[0]?.spec ?? DEFAULT_POLICY;
}
