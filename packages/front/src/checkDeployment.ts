import { ServeError } from "@fulmarcleat/errors";
import type { Deployment } from "@fulmarcleat/platform";

/** Lease of a host's keys, in milliseconds. It outlasts a restart, so that a restarted host still owns its engines. */
export const LEASE_MS = 6000;

/**
 * Checks settings that are valid by themselves against what the hosts' own times allow.
 *
 * @param deployment - The decoded settings
 * @returns the settings
 * @throws ServeError `settings_invalid` with the setting and its bound in the message
 *
 * @example
 * const deployment = checkDeployment(await readDeployment(process.env));
 */
export function checkDeployment(deployment: Deployment): Deployment {
    const { orderLeaseMs } = deployment.bounds;
    if (orderLeaseMs > LEASE_MS) {
        throw new ServeError(
            `the time between two owners' orders is ${orderLeaseMs} ms; it must not exceed the hosts' lease, ${LEASE_MS} ms`,
            { code: "settings_invalid", step: "check deployment", peer: "self", outcome: "not_run" },
        );
    }
    return deployment;
}
