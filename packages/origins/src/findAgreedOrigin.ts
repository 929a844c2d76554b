import type { Hasher } from "@fulmarcleat/hashing";
import type { RequestId } from "@fulmarcleat/ids";
import type { Origin, OriginRule } from "./originRule.js";
import { pickOrigin } from "./pickOrigin.js";

/**
 * Finds the origin that all rules give for a request's id. Hosts may know lists of rules of different ages: as long as
 * two lists share a rule, they can't give different origins.
 *
 * @param hash - Hash function that all hosts share
 * @param rules - Rules that are in force, or were until lately
 * @param requestId - Id of the request that begins the stream
 * @returns the origin; undefined if the rules differ, one of them gives none, or there is no rule
 *
 * @example
 * const origin = findAgreedOrigin(hash, rules, requestId);
 */
export function findAgreedOrigin(
    hash: Hasher,
    rules: readonly OriginRule[],
    requestId: RequestId,
): Origin | undefined {
    const [first, ...others] = rules.map(rule => pickOrigin(hash, rule, requestId));
    const isAgreed = others.every(other =>
        other !== undefined && other.service === first?.service && other.softwareVersion === first.softwareVersion
    );
    return isAgreed ? first : undefined;
}
