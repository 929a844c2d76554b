import type { RouteTarget } from "@fulmarcleat/directory";
import type { ServiceName } from "@fulmarcleat/ids";
import type { OriginRule, VersionWeight } from "./originRule.js";

/**
 * Builds the rule that fits a route's weights and the engines of its services.
 *
 * @param targets - Services of the route with their weights
 * @param countVersions - Returns the number of engines of each software version of a service
 * @param former - The rule so far; a service without engines keeps its versions
 * @returns the rule
 *
 * @example
 * const rule = buildOriginRule(route.targets, service => counts.get(service) ?? [], rules?.[0]);
 */
export function buildOriginRule(
    targets: readonly RouteTarget[],
    countVersions: (service: ServiceName) => readonly VersionWeight[],
    former: OriginRule | undefined,
): OriginRule {
    const formerServices = former?.kind === "weighted" ? former.services : [];
    const services = targets.map(({ service, weight }) => {
        const counted = countVersions(service);
        const versions = counted.length > 0
            ? counted
            : formerServices.find(other => other.service === service)?.versions ?? [];
        return { service, weight, versions };
    });
    return { kind: "weighted", services };
}
