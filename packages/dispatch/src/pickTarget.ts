import type { RouteTarget } from "@fulmarcleat/directory";
import type { Hasher } from "@fulmarcleat/hashing";
import type { ServiceName } from "@fulmarcleat/ids";

const HASH_RANGE = 2 ** 32;

/**
 * Picks one of a route's services by weight; the same request gets the same service.
 *
 * @param hash - Hash function that all hosts share
 * @param targets - Services of the route with their weights
 * @param key - Value that determines the choice, such as the request id
 * @returns the service, or undefined if no target has a weight
 *
 * @example
 * const service = pickTarget(hash, route.targets, requestId);
 */
export function pickTarget(hash: Hasher, targets: readonly RouteTarget[], key: string): ServiceName | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = hash(key) / HASH_RANGE * total;
    for (const target of targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return undefined;
}
