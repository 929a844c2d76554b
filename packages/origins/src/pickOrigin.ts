import { pickTarget } from "@fulmarcleat/dispatch";
import type { Hasher } from "@fulmarcleat/hashing";
import type { RequestId } from "@fulmarcleat/ids";
import type { Origin, OriginRule, VersionWeight } from "./originRule.js";

const HASH_RANGE = 2 ** 32;

/**
 * Picks where a stream begins by its request's id. The service is the one that the route's weights give; the version is
 * picked by weighted rendezvous hashing, so that a changed weight moves as few streams as possible.
 *
 * @param hash - Hash function that all hosts share
 * @param rule - Services and versions with their weights
 * @param requestId - Id of the request that begins the stream
 * @returns the service and software version; undefined if the rule gives none
 *
 * @example
 * const origin = pickOrigin(hash, rule, requestId);
 */
export function pickOrigin(hash: Hasher, rule: OriginRule, requestId: RequestId): Origin | undefined {
    switch (rule.kind) {
        case "unknown":
            return undefined;
        case "weighted": {
            const service = pickTarget(hash, rule.services, requestId);
            const versions = rule.services.find(weighted => weighted.service === service)?.versions ?? [];
            const score = ({ softwareVersion, weight }: VersionWeight): number =>
                // The quotient never is 0 or 1, whose logarithms are of no use here.
                -weight
                / Math.log((hash(`${requestId}\u0000${service}\u0000${softwareVersion ?? ""}`) + 0.5) / HASH_RANGE);
            const [first] = versions.filter(({ weight }) => weight > 0)
                .map(version => ({ version, score: score(version) }))
                .sort((a, b) => b.score - a.score);
            return service === undefined || first === undefined
                ? undefined
                : { service, softwareVersion: first.version.softwareVersion };
        }
    }
}
