import { parseJson } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import type { OriginRule } from "@fulmarcleat/origins";
import * as z from "zod";

/** The origin rules of a route as the store holds them. */
export interface RecordedRules {
    /** Revision of their key. */
    readonly revision: number;
    /** The newest first; undefined if they can't be relied on, as the store has come back from a copy since. */
    readonly rules: readonly OriginRule[] | undefined;
}

const weightSchema = z.number().nonnegative();
const serviceSchema = z.object({
    service: z.string(),
    weight: weightSchema,
    versions: z.array(z.object({ version: z.string().optional(), weight: weightSchema })),
});
const valueSchema = z.object({
    epoch: z.int().nonnegative(),
    /** A rule without services says that nothing is known. */
    rules: z.array(z.object({ services: z.array(serviceSchema).optional() })),
});

/**
 * Encodes the origin rules of a route.
 *
 * @param rules - The rules, the newest first
 * @param epoch - Epoch of the store that the rules are written to
 * @returns the value, JSON
 *
 * @example
 * const value = encodeOriginRules([rule], 0);
 */
export function encodeOriginRules(rules: readonly OriginRule[], epoch: number): Buffer {
    const encodeRule = (rule: OriginRule): z.infer<typeof valueSchema>["rules"][number] => {
        switch (rule.kind) {
            case "unknown":
                return {};
            case "weighted": {
                const services = rule.services.map(({ service, weight, versions }) => ({
                    service,
                    weight,
                    versions: versions.map(version => ({ version: version.softwareVersion, weight: version.weight })),
                }));
                return { services };
            }
        }
    };
    return Buffer.from(JSON.stringify({ epoch, rules: rules.map(encodeRule) }));
}

/**
 * Decodes the origin rules of a route.
 *
 * @param value - Stored value, JSON
 * @param epoch - Epoch of the store that returned the value
 * @returns the rules, the newest first; undefined if the value can't be read, or was written in a former epoch: a later
 * one may be lost
 *
 * @example
 * const rules = decodeOriginRules(item.value, splitRevision(item.revision).epoch);
 */
export function decodeOriginRules(value: Buffer, epoch: number): readonly OriginRule[] | undefined {
    const { data } = valueSchema.safeParse(parseJson(value.toString("utf8")));
    return data?.epoch !== epoch ? undefined : data.rules.map(({ services }) =>
        services === undefined
            ? { kind: "unknown" }
            : {
                kind: "weighted",
                services: services.map(({ service, weight, versions }) => ({
                    service: brandId(service),
                    weight,
                    versions: versions.map(({ version, weight: versionWeight }) => ({
                        softwareVersion: version === undefined ? undefined : brandId(version),
                        weight: versionWeight,
                    })),
                })),
            }
    );
}
