import { createHasher } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { RequestId, ServiceName, SoftwareVersion } from "@fulmarcleat/ids";
import { fc, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { findAgreedOrigin } from "./findAgreedOrigin.js";
import type { OriginRule } from "./originRule.js";
import { pickOrigin } from "./pickOrigin.js";
import { updateOriginRules } from "./updateOriginRules.js";

const SERVICE = brandId<ServiceName>("models");
const AGES = { formerMs: 60_000, unknownMs: 30_000 };
const SEED = 61;
const REQUESTS = Array.from({ length: 20 }, (value, at) => brandId<RequestId>(`r${at}`));

let rules: readonly OriginRule[] | undefined;
let recorded: readonly OriginRule[] | undefined;
let hash: Hasher;
let share = 0;
let histories = 0;

function parseRule(text: string): OriginRule {
    if (text === "unknown") {
        return { kind: "unknown" };
    }
    const versions = text.split(" ").map(part => {
        const [version = "", weight] = part.split(":");
        return { softwareVersion: brandId<SoftwareVersion>(version), weight: Number(weight) };
    });
    return { kind: "weighted", services: [{ service: SERVICE, weight: 1, versions }] };
}

function formatRule(rule: OriginRule): string {
    switch (rule.kind) {
        case "unknown":
            return rule.kind;
        case "weighted":
            return rule.services.flatMap(({ versions }) => versions)
                .map(({ softwareVersion, weight }) => `${softwareVersion}:${weight}`).join(" ");
    }
}

Given("the rules {string} on record", async (text: string) => {
    hash = await createHasher();
    rules = text === "none" ? undefined : text.split(" / ").map(parseRule);
});

When("the engines are {string} and the record is {int} s old", (engines: string, ageS: number) => {
    recorded = updateOriginRules(rules, parseRule(engines), { ...AGES, ageMs: ageS * 1000 });
});

Then(
    "the rules to record are {string}",
    (expected: string) => strictEqual(recorded?.map(formatRule).join(" / ") ?? "none", expected),
);

When("{int} versions replace each other", (count: number) => {
    for (let version = 0; version < count; version += 1) {
        rules = updateOriginRules(rules, parseRule(`w${version}:1`), { ...AGES, ageMs: 0 }) ?? rules;
    }
});

Then("there are at most {int} rules, the last of which is {string}", (most: number, last: string) => {
    ok(rules !== undefined && rules.length <= most, `${rules?.length} rules`);
    strictEqual(formatRule(rules.at(-1) ?? parseRule("none:1")), last);
});

Given("engines that come, leave and come back in {int} random histories", async (count: number) => {
    hash = await createHasher();
    histories = count;
});

When("a stream begins by one list and is resumed by the next", () => undefined);

Then("both lists give the same origin, or one of them gives none", () => {
    const engines = fc.constantFrom("v1:3", "v1:2 v2:1", "v1:1 v2:2", "v2:3", "v1:1 v2:1 v3:1");
    const step = fc.record({ engines, ageMs: fc.constantFrom(0, 29_000, 60_000) });
    const check = (steps: readonly { readonly engines: string; readonly ageMs: number }[]): void => {
        let list: readonly OriginRule[] | undefined;
        for (const { engines: present, ageMs } of steps) {
            const next: readonly OriginRule[] = updateOriginRules(list, parseRule(present), { ...AGES, ageMs }) ?? list
                ?? [];
            for (const requestId of REQUESTS) {
                const began = findAgreedOrigin(hash, list ?? [], requestId);
                const resumed = findAgreedOrigin(hash, next, requestId);
                ok(
                    began === undefined || resumed === undefined || began.softwareVersion === resumed.softwareVersion,
                    `${requestId} began at ${began?.softwareVersion}, resumed at ${resumed?.softwareVersion}`,
                );
            }
            list = next;
        }
    };
    fc.assert(fc.property(fc.array(step, { minLength: 2, maxLength: 12 }), check), { numRuns: histories, seed: SEED });
});

When("{int} streams begin by the newest rule", (count: number) => {
    const rule = rules?.[0] ?? parseRule("unknown");
    const begun = Array.from({ length: count }, (value, at) => pickOrigin(hash, rule, brandId(`stream-${at}`)));
    share = 100 * begun.filter(origin => origin?.softwareVersion === "v2").length / count;
});

Then(
    "{int} in 100 begin at v2, give or take {int}",
    (expected: number, slack: number) => ok(Math.abs(share - expected) <= slack, `${share} in 100`),
);
