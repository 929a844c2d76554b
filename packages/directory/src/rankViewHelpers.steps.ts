import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, Then } from "@fulmarcleat/testing";
import type { ViewHost } from "./chooseViewRole.js";
import { rankViewHelpers } from "./rankViewHelpers.js";

let names: readonly HostId[] = [];
let rankings: readonly (readonly HostId[])[] = [];

Given(
    "{int} hosts that may need each other's help, one that leaves and one of a former version",
    async (count: number) => {
        const hash = await createHasher();
        names = Array.from({ length: count }, (value, number) => brandId<HostId>(`host-${number}`));
        const hosts: readonly ViewHost[] = [
            ...names.map(host => ({ host, canBeFollowed: true, isLeaving: false })),
            { host: brandId("host-leaving"), canBeFollowed: true, isLeaving: true },
            { host: brandId("host-former"), isLeaving: false },
        ];
        rankings = names.map(self => rankViewHelpers(self, hosts, (key, ids) => rankByRendezvous(hash, key, ids)));
    },
);

Then("each of them may ask each other one, but neither itself nor those two", () => {
    rankings.forEach((ranking, at) =>
        deepStrictEqual([...ranking].sort(), names.filter(name => name !== names[at]).sort())
    );
});

Then("no host is the first choice of more than {int} others", (most: number) => {
    const firsts = rankings.map(([first]) => first);
    const counts = names.map(name => firsts.filter(first => first === name).length);
    ok(Math.max(...counts) <= most, `${Math.max(...counts)} hosts`);
});
