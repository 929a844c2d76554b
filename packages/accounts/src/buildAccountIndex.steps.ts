import type { ClientAccount } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { AccountName, ApiKey } from "@fulmarcleat/ids";
import { fc, ok, strictEqual, Then } from "@fulmarcleat/testing";
import { buildAccountIndex } from "./buildAccountIndex.js";
import type { AccountIndex } from "./buildAccountIndex.js";

const SEED = 17;

/** Creates the accounts of a text like "a:k1,k2 b:k3". */
function createAccounts(text: string): ReadonlyMap<AccountName, ClientAccount> {
    const accounts = text.split(" ").filter(part => part !== "").map(part => {
        const [name = "", keys = ""] = part.split(":");
        return {
            name: brandId<AccountName>(name),
            keys: keys.split(",").filter(key => key !== "").map(key => brandId<ApiKey>(key)),
            priority: undefined,
            limit: undefined,
        };
    });
    return new Map(accounts.map(account => [account.name, account]));
}

function find(index: AccountIndex, key: string): string {
    return index.findByKey(brandId(key))?.name ?? "none";
}

Then(/^among the accounts "(.*)" the key "(.*)" belongs to "(.*)"$/, (accounts: string, key: string, name: string) => {
    strictEqual(find(buildAccountIndex(createAccounts(accounts)), key), name);
});

Then(/^among the accounts "(.*)" the name "(.*)" is (known|unknown)$/, (accounts: string, name: string, is: string) => {
    const found = buildAccountIndex(createAccounts(accounts)).findByName(brandId(name));
    strictEqual(found?.name, is === "known" ? name : undefined);
});

Then("in {int} random configurations each key belongs to the first account that lists it", (numRuns: number) => {
    const key = fc.stringMatching(/^[a-c]{1,2}$/);
    const lists = fc.array(fc.array(key, { maxLength: 4 }), { maxLength: 6 });
    const check = (keyLists: readonly (readonly string[])[], sought: string): void => {
        const index = buildAccountIndex(
            createAccounts(keyLists.map((keys, at) => `n${at}:${keys.join(",")}`).join(" ")),
        );
        const first = keyLists.findIndex(keys => keys.includes(sought));
        strictEqual(find(index, sought), first < 0 ? "none" : `n${first}`);
    };
    fc.assert(fc.property(lists, key, check), { numRuns, seed: SEED });
    ok(numRuns > 0);
});
