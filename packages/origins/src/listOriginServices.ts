import type { RouteTarget } from "@fulmarcleat/directory";
import { pickTarget } from "@fulmarcleat/dispatch";
import type { Hasher } from "@fulmarcleat/hashing";
import type { RequestId, ServiceName } from "@fulmarcleat/ids";
import type { OriginRule } from "./originRule.js";

/**
 * Lists the services at which a stream of a route can have begun, by the route's weights of now and of before.
 *
 * @param hash - Hash function that all hosts share
 * @param targets - Services of the route with the weights of now
 * @param rules - Rules that are in force, or were until lately; undefined if none is known
 * @param requestId - Id of the request that began the stream; undefined if the client names none
 * @returns the names of the services
 *
 * @example
 * const services = listOriginServices(hash, route.targets, rules, resumedRequestId);
 */
export function listOriginServices(
    hash: Hasher,
    targets: readonly RouteTarget[],
    rules: readonly OriginRule[] | undefined,
    requestId: RequestId | undefined,
): ReadonlySet<ServiceName> {
    const isUnknown = rules === undefined || rules.some(({ kind }) => kind === "unknown");
    const choices = [targets, ...(rules ?? []).map(rule => rule.kind === "weighted" ? rule.services : [])];
    const services = choices.flatMap(choice => {
        const picked = requestId === undefined || isUnknown ? undefined : pickTarget(hash, choice, requestId);
        return picked === undefined
            ? choice.filter(({ weight }) => weight > 0).map(({ service }) => service)
            : [picked];
    });
    return new Set(services);
}
