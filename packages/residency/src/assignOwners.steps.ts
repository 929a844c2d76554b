import { createHasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { assignOwners } from "./assignOwners.js";

let assigned: ReadonlyMap<EngineId, readonly HostId[]>;

Given("owners assigned for {int} engines on {int} hosts", async (engineCount: number, hostCount: number) => {
    const engines = Array.from({ length: engineCount }, (value, index) => brandId<EngineId>(`i-${index}`));
    const hosts = Array.from({ length: hostCount }, (value, index) => brandId<HostId>(`h-${index}`));
    assigned = assignOwners(await createHasher(), engines, hosts);
});

Then("no host owns more than {int} engines", (most: number) => {
    const counts = new Map<HostId, number>();
    for (const [first] of assigned.values()) {
        if (first !== undefined) {
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
    }
    ok(Math.max(0, ...counts.values()) <= most, JSON.stringify([...counts]));
});

Then("each engine has {int} hosts in its order", (count: number) => {
    assigned.forEach(hosts => strictEqual(new Set(hosts).size, count));
});
