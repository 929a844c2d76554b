import { pickTarget } from "@fulmarcleat/dispatch";
import { createHasher } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { RequestId, ServiceName } from "@fulmarcleat/ids";
import { Given, ok, Then, When } from "@fulmarcleat/testing";
import { listOriginServices } from "./listOriginServices.js";
import type { OriginRule, WeightedService } from "./originRule.js";

let hash: Hasher;
let targets: readonly WeightedService[];
let rules: readonly OriginRule[] | undefined;
let listed: readonly { readonly requestId: RequestId; readonly services: ReadonlySet<ServiceName> }[] = [];

const parseTargets = (text: string): readonly WeightedService[] =>
    text.split(" ").map(part => {
        const [service = "", weight] = part.split(":");
        return { service: brandId<ServiceName>(service), weight: Number(weight), versions: [] };
    });

Given("a route to {string} with the rules {string} on record", async (route: string, text: string) => {
    hash = await createHasher();
    targets = parseTargets(route);
    rules = text === "none"
        ? undefined
        : text.split(" / ").map(rule =>
            rule === "unknown" ? { kind: "unknown" } : { kind: "weighted", services: parseTargets(rule) }
        );
});

When(/^the possible services of (\d+) streams are listed, (by|without) id$/, (count: string, how: string) => {
    listed = Array.from({ length: Number(count) }, (value, at) => {
        const requestId = brandId<RequestId>(`r${at}`);
        const named = how === "by" ? requestId : undefined;
        return { requestId, services: listOriginServices(hash, targets, rules, named) };
    });
});

Then(
    /^they have (\d) services at most, and that which the route gave (.*) among them$/,
    (most: string, former: string) => {
        for (const { requestId, services } of listed) {
            const began = pickTarget(hash, parseTargets(former), requestId);
            ok(began !== undefined && services.has(began), `${requestId} began at ${began}`);
            ok(services.size <= Number(most), `${services.size} services`);
        }
        ok(listed.some(({ services }) => services.size === Number(most)));
    },
);
