import { apiSettingsSchema } from "@fulmarcleat/api";
import { gatewaySettingsSchema } from "@fulmarcleat/gateway";
import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { loadSettings } from "@fulmarcleat/settings";
import { deepStrictEqual, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { z } from "zod";

Then(
    "the examples of {string} hold {int} gateways in {string}, {int} engines of {string} and {int} hosts of {string}",
    async (
        example: string,
        gateways: number,
        domains: string,
        engines: number,
        upstream: string,
        hosts: number,
        service: string,
    ) => {
        const folder = fileURLToPath(new URL(`../examples/${example}/`, import.meta.url));
        const files = readdirSync(folder).filter(file => file.startsWith("gateway-"));
        const settings = await Promise.all(files.map(file => loadSettings(gatewaySettingsSchema, folder + file)));
        strictEqual(new Set(settings.map(cfg => cfg.host)).size, gateways);
        deepStrictEqual([...new Set<string>(settings.map(cfg => cfg.failureDomain))].sort(), domains.split(","));
        ok(
            (await loadSettings(apiSettingsSchema, `${folder}api-1.jsonc`)).peerKey === settings[0]?.peerKey,
            "the API and the gateways have different peer keys",
        );
        const resources = await loadSettings(z.array(resourceSchema), `${folder}resources.jsonc`);
        checkSizes(resources, { engines, upstream, hosts, service });
    },
);

interface DeploymentSizes {
    readonly engines: number;
    readonly upstream: string;
    readonly hosts: number;
    readonly service: string;
}

function checkSizes(resources: readonly Resource[], sizes: DeploymentSizes): void {
    const actualSizes = resources.flatMap(resource => {
        switch (resource.kind) {
            case "Upstream":
                return [`${resource.metadata.name} ${resource.spec.engines.length}`];
            case "Service":
                return [`${resource.metadata.name} ${resource.spec.urls.length}`];
            case "Adapter":
            case "Offer":
            case "Caller":
            case "Operator":
            case "Policy":
                return [];
        }
    });
    deepStrictEqual(actualSizes, [`${sizes.upstream} ${sizes.engines}`, `${sizes.service} ${sizes.hosts}`]);
}
