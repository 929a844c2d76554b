import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { loadSettings } from "@fulmarcleat/settings";
import { z } from "zod";

/** Addresses of the stand-ins that the demo starts. */
export interface StandinUrls {
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

/**
 * Reads the resources of an example and replaces the addresses in them by those of stand-ins.
 *
 * @param file - Path of the resource file
 * @param urls - Addresses of the stand-ins, in the order of the engines and service URLs of the example
 * @returns the resources with replaced addresses
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
            const engines = resource.spec.engines.map((engine, index) => ({
                ...engine,
                url: urls.engines[index] ?? engine.url,
            }));
            return { ...resource, spec: { ...resource.spec, engines } };
        }
        case "Service": {
            const replaced = resource.spec.urls.map((url, index) => urls.services[index] ?? url);
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
