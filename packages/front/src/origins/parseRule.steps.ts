import { brandId } from "@fulmarcleat/ids";
import type { ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import type { OriginRule, WeightedService } from "@fulmarcleat/origins";

/**
 * Parses services with weights, each with engines of one software version or of several.
 *
 * @param text - Services as NAME:WEIGHT, with versions as NAME:WEIGHT[VERSION=WEIGHT,...]; v1 if none are named
 * @returns the services
 *
 * @example
 * parseServices("models:90[v1=3,v2=1] others:10");
 */
export function parseServices(text: string): readonly WeightedService[] {
    return [...text.matchAll(/(\S+?):(\d+)(?:\[(.*?)\])?/g)].map(([, service = "", weight, versions = "v1=1"]) => ({
        service: brandId<ServiceName>(service),
        weight: Number(weight),
        versions: versions.split(",").map(part => {
            const [version = "", share] = part.split("=");
            return { softwareVersion: brandId<SoftwareVersion>(version), weight: Number(share) };
        }),
    }));
}

/**
 * Parses an origin rule.
 *
 * @param text - Services with weights, or "unknown"
 * @returns the rule
 *
 * @example
 * parseRule("models:1[v1=3,v2=3]");
 */
export function parseRule(text: string): OriginRule {
    return text === "unknown" ? { kind: "unknown" } : { kind: "weighted", services: parseServices(text) };
}

/**
 * Formats an origin rule as it is parsed.
 *
 * @param rule - The rule
 * @returns its text
 *
 * @example
 * formatRule({ kind: "unknown" }); // "unknown"
 */
export function formatRule(rule: OriginRule): string {
    switch (rule.kind) {
        case "unknown":
            return rule.kind;
        case "weighted":
            return rule.services.map(({ service, weight, versions }) =>
                `${service}:${weight}[${
                    versions.map(version => `${version.softwareVersion}=${version.weight}`).join(",")
                }]`
            ).join(" ");
    }
}
