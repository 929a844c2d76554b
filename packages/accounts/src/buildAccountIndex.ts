import type { ClientAccount } from "@fulmarcleat/directory";
import type { AccountName, ApiKey } from "@fulmarcleat/ids";

/** Finds the accounts of one configuration in constant time. */
export interface AccountIndex {
    /** Returns the account that an API key belongs to; undefined if it belongs to none. */
    findByKey(key: ApiKey): ClientAccount | undefined;
    /** Returns the account of a name; undefined if there is none. */
    findByName(name: AccountName): ClientAccount | undefined;
}

/**
 * Builds the index of a configuration's accounts. A key that several accounts list belongs to the one listed first, so
 * that all hosts agree.
 *
 * @param accounts - Accounts by name, in the order of the configuration
 * @returns the index, which shares the keys and accounts with the configuration
 *
 * @example
 * buildAccountIndex(config.accounts).findByKey(key)?.name;
 */
export function buildAccountIndex(accounts: ReadonlyMap<AccountName, ClientAccount>): AccountIndex {
    const byKey = new Map<ApiKey, ClientAccount>();
    for (const account of accounts.values()) {
        for (const key of account.keys) {
            if (!byKey.has(key)) {
                byKey.set(key, account);
            }
        }
    }
    return { findByKey: key => byKey.get(key), findByName: name => accounts.get(name) };
}
