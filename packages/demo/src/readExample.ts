import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { loadSettings } from "@fulmarcleat/settings";
import { z } from "zod";

/** Addresses of the embedded stand-ins. */
export interface StandinUrls {
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

/**
 * Reads an example's resources, with the addresses of embedded stand-ins in place of its own.
 *
 * @param file - Path of the example's resources
 * @param urls - Addresses of the stand-ins, in the order of the example's engines and hosts
 * @returns the resources
 *
 * @example
 * const resources = await readExample("examples/vop/resources.jsonc", { engines, services });
 */
export async function readExample(file: string, urls: StandinUrls): Promise<readonly Resource[]> {
    const resources = await loadSettings(z.array(resourceSchema), file);
    return resources.map(resource => replaceUrls(resource, urls));
}

function replaceUrls(resource: Resource, urls: StandinUrls): Resource {
    switch (resource.kind) {
        case "Upstream": {
            const engines = resource.spec.engines.map((engine, at) => ({
                ...engine,
                url: urls.engines[at] ?? engine.url,
            }));
            return { ...resource, spec: { ...resource.spec, engines } };
        }
        case "Service": {
            const replaced = resource.spec.urls.map((url, at) => urls.services[at] ?? url);
            return { ...resource, spec: { ...resource.spec, urls: replaced } };
        }
        case "Adapter":
        case "Offer":
        case "Caller":
        case "Operator":
        case "Policy":
            return resource;
    }
}
