import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { strictEqual, Then } from "@fulmarcleat/testing";
import { preferFastLinks } from "./preferFastLinks.js";

Then(/^preferFastLinks of (\S+) gives the order (\S+)$/, (rates: string, order: string) => {
    const hosts = rates.split(",").map((rate, at) => ({
        host: brandId<HostId>(String(at)),
        linkMbps: rate === "-" ? undefined : Number(rate),
    }));
    strictEqual(preferFastLinks(hosts.map(({ host }) => host), hosts).join(","), order);
});
