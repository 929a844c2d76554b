import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { deepStrictEqual, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { chooseViewRole } from "./chooseViewRole.js";
import type { Rank, ViewHost, ViewRole } from "./chooseViewRole.js";

const EXCLUDED = brandId<HostId>("host-excluded");

let hosts: readonly ViewHost[] = [];
let rank: Rank;

Given(
    "{int} hosts in {int} failure domains that choose their views' sources",
    async (count: number, domains: number) => {
        const hash = await createHasher();
        rank = (key, names) => rankByRendezvous(hash, key, names);
        hosts = Array.from({ length: count }, (value, number) => ({
            host: brandId<HostId>(`host-${number}`),
            domain: brandId<FailureDomain>(`d${number % domains}`),
            canBeFollowed: true,
            isLeaving: false,
        }));
    },
);

When(/^a host (that leaves|of a former version|without a failure domain) is among them$/, (which: string) => {
    const excluded: ViewHost = {
        host: EXCLUDED,
        domain: which === "without a failure domain" ? undefined : brandId<FailureDomain>("d0"),
        canBeFollowed: which !== "of a former version",
        isLeaving: which === "that leaves",
    };
    hosts = [...hosts, excluded];
});

When(
    "{int} of each failure domain have links of {int} Mbit\\/s, and the others of {int}",
    (fast: number, fastMbps: number, slowMbps: number) => {
        const domains = new Set(hosts.map(({ domain }) => domain)).size;
        hosts = hosts.map((host, at) => ({ ...host, linkMbps: at < fast * domains ? fastMbps : slowMbps }));
    },
);

Then("{int} hosts with faster links are followed", (expected: number) => {
    const mostMbps = Math.max(...hosts.map(({ linkMbps }) => linkMbps ?? 0));
    const leastMbps = Math.min(...hosts.map(({ linkMbps }) => linkMbps ?? 0));
    const followed = hosts.filter(({ host }) => chooseViewRole(host, hosts, rank).isFollowed);
    strictEqual(followed.filter(({ linkMbps }) => mostMbps > leastMbps && linkMbps === mostMbps).length, expected);
});

Then(
    "{int} of them read the store, and each other one follows hosts of its own failure domain",
    (readers: number) => {
        const roles = chooseRoles(hosts);
        strictEqual([...roles.values()].filter(({ sources }) => sources.length === 0).length, readers);
        for (const [host, { sources }] of roles) {
            ok(sources.every(source => readDomain(source) === readDomain(host) && roles.get(source)?.isFollowed));
        }
    },
);

Then("no host follows it", () => {
    ok([...chooseRoles(hosts).values()].every(({ sources }) => !sources.includes(EXCLUDED)));
});

Then("without any one of them the hosts of the other failure domains follow the same hosts as before", () => {
    const before = chooseRoles(hosts);
    for (const gone of hosts) {
        const after = chooseRoles(hosts.filter(({ host }) => host !== gone.host));
        const others = [...after].filter(([host]) => readDomain(host) !== gone.domain);
        others.forEach(([host, role]) => deepStrictEqual(role, before.get(host)));
    }
});

function chooseRoles(all: readonly ViewHost[]): ReadonlyMap<HostId, ViewRole> {
    return new Map(all.map(({ host }) => [host, chooseViewRole(host, all, rank)]));
}

function readDomain(host: HostId): FailureDomain | undefined {
    return hosts.find(other => other.host === host)?.domain;
}
