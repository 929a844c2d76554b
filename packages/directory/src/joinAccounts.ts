import type { AccountName } from "@fulmarcleat/ids";
import type { ClientAccount } from "./clientAccount.js";

/**
 * Joins a list of client accounts by name. A name that is listed again adds its keys to the account listed first, and an
 * empty key counts as none, since it would let in requests with an empty header.
 *
 * @param listed - Accounts in the order of the configuration
 * @returns the accounts by name
 *
 * @example
 * joinAccounts(listed).get(name)?.keys;
 */
export function joinAccounts(listed: readonly ClientAccount[]): ReadonlyMap<AccountName, ClientAccount> {
    const accounts = new Map<AccountName, ClientAccount>();
    for (const account of listed) {
        const keys = account.keys.filter(key => key.length > 0);
        const first = accounts.get(account.name);
        accounts.set(
            account.name,
            first === undefined ? { ...account, keys } : { ...first, keys: [...first.keys, ...keys] },
        );
    }
    return accounts;
}
