import { brandId } from "@fulmarcleat/ids";
import type { AccountName, ApiKey } from "@fulmarcleat/ids";
import { fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { authenticateRequest } from "./authenticateRequest.js";
import type { Authentication, RequestCredentials } from "./authenticateRequest.js";
import { buildAccountIndex } from "./buildAccountIndex.js";

const SEED = 23;
/** Time for which keys are accepted after a confirmation where the deployment is strict, in milliseconds. */
const MAX_CONFIRMED_AGO_MS = 5000;

const ACCOUNT = { name: brandId<AccountName>("a"), keys: [brandId<ApiKey>("k1")], priority: 3, limit: undefined };
const INDEX = buildAccountIndex(new Map([[ACCOUNT.name, ACCOUNT]]));

const KEYS: Readonly<Record<string, string | undefined>> = {
    "known": "k1",
    "unknown": "k9",
    "empty": "",
    "no": undefined,
};
/** What another host states of the request, by its column in the tables. */
const MARKS: Readonly<Record<string, RequestCredentials["forwarded"]>> = {
    "a client": undefined,
    "a host for a": { account: ACCOUNT.name },
    "a host for z": { account: brandId("z") },
    "a host": { account: undefined },
};

interface Row {
    readonly key: string;
    readonly from: string;
    readonly accounts: string;
    readonly route: string;
    readonly ageMs: number | undefined;
    readonly isCurrent: boolean;
}

function decide({ key, from, accounts, route, ageMs, isCurrent }: Row): Authentication {
    ok(key in KEYS && from in MARKS);
    const apiKey = KEYS[key];
    return authenticateRequest({ apiKey: apiKey === undefined ? undefined : brandId(apiKey), forwarded: MARKS[from] }, {
        index: accounts === "none" ? undefined : INDEX,
        isAnonymous: route === "anonymous",
        isCurrent: () => isCurrent,
        confirmedAgoMs: ageMs,
        maxConfirmedAgoMs: accounts === "strict" ? MAX_CONFIRMED_AGO_MS : undefined,
    });
}

function describe(decided: Authentication): string {
    return decided.kind === "account"
        ? `account ${decided.account.name} of priority ${decided.account.priority ?? "none"}`
        : decided.kind;
}

Then(
    /^a request with (\w+) key from (.+) on an? (\w+) route, accounts (\w+), configuration (current|old|unconfirmed) at (\w+) ms, is (.+)$/,
    (key: string, from: string, route: string, accounts: string, state: string, age: string, result: string) => {
        const ageMs = state === "unconfirmed" ? undefined : Number(age);
        strictEqual(describe(decide({ key, from, accounts, route, ageMs, isCurrent: state === "current" })), result);
    },
);

Then(
    "in {int} random cases no key but a listed one is taken, and a final refusal is never uncertain",
    (numRuns: number) => {
        const row = fc.record({
            key: fc.constantFrom(...Object.keys(KEYS)),
            from: fc.constantFrom(...Object.keys(MARKS)),
            accounts: fc.constantFrom("lenient", "strict"),
            route: fc.constantFrom("anonymous", "usual"),
            ageMs: fc.option(fc.nat({ max: 2 * MAX_CONFIRMED_AGO_MS }), { nil: undefined }),
            isCurrent: fc.boolean(),
        });
        const check = (each: Row): void => {
            const { kind } = decide(each);
            const hasStatement = each.from.startsWith("a host for");
            if (kind === "account") {
                ok(each.key === "known" || hasStatement);
            }
            if (kind === "no_account") {
                strictEqual(each.route, "anonymous");
            }
            if (kind === "unauthenticated") {
                ok(each.isCurrent && each.from === "a client" && each.key !== "known");
            }
            if (each.accounts === "strict" && each.route === "usual" && !hasStatement) {
                ok(kind === "undecided" || (each.ageMs ?? Infinity) <= MAX_CONFIRMED_AGO_MS);
            }
        };
        fc.assert(fc.property(row, check), { numRuns, seed: SEED });
    },
);
