import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";

/** Number of versions of each adapter. */
const VERSIONS_PER_ADAPTER = 2;
/** Number of adapters that one caller may use. */
const ADAPTERS_PER_CALLER = 100;
/** Length of a key hash in hexadecimal digits. */
const HASH_LENGTH = 64;

/**
 * Builds the resources of a deployment with the given number of adapters, each with an offer.
 *
 * @param adapters - Number of adapters
 * @returns the adapters, their offers and the callers
 *
 * @example
 * const resources = buildResources(3000);
 */
export function buildResources(adapters: number): readonly Resource[] {
    const resources: Resource[] = [];
    for (let at = 0; at < adapters; at += 1) {
        const name = `adapter-${at}`;
        const caller = `caller-${Math.floor(at / ADAPTERS_PER_CALLER)}`;
        const versions = Array.from({ length: VERSIONS_PER_ADAPTER }, (unused, version) => `${version + 1}`);
        resources.push(
            parse("Adapter", name, {
                baseModel: "base-13b",
                versions: versions.map(version => ({ version, weights: `${name}/${version}` })),
            }),
        );
        resources.push(
            parse("Offer", name, {
                adapter: name,
                versions,
                defaultVersion: "1",
                callers: [caller],
                priority: "normal",
            }),
        );
        if (at % ADAPTERS_PER_CALLER === 0) {
            resources.push(parse("Caller", caller, { keyHashes: [String(at).padStart(HASH_LENGTH, "0")] }));
        }
    }
    return resources;
}

function parse(kind: string, name: string, spec: unknown): Resource {
    return resourceSchema.parse({ kind, metadata: { name }, spec });
}
