import type { ClientAccount } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { AccountName } from "@fulmarcleat/ids";
import { ok, strictEqual, Then } from "@fulmarcleat/testing";
import { createAccountIndexReader } from "./createAccountIndexReader.js";

Then("an account index is built once for each version of the configuration, and dropped with it", () => {
    const createAccounts = (key: string): ReadonlyMap<AccountName, ClientAccount> => {
        const name = brandId<AccountName>("a");
        return new Map([[name, { name, keys: [brandId(key)], priority: undefined, limit: undefined }]]);
    };
    const read = createAccountIndexReader();
    const [first, second] = [createAccounts("k1"), createAccounts("k2")];
    const index = read({ accounts: first });
    strictEqual(index?.findByKey(brandId("k1"))?.name, "a");
    strictEqual(read({ accounts: first }), index);
    strictEqual(read({ accounts: second })?.findByKey(brandId("k1")), undefined);
    strictEqual(read({ accounts: undefined }), undefined);
    strictEqual(read(undefined), undefined);
    ok(read({ accounts: first }) !== index);
});
