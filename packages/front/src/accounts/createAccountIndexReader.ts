import { buildAccountIndex } from "@fulmarcleat/accounts";
import type { AccountIndex } from "@fulmarcleat/accounts";
import type { ServingConfig } from "@fulmarcleat/directory";

/** Returns the index of a configuration's accounts; undefined if it has none. */
export type AccountIndexReader = (config: Pick<ServingConfig, "accounts"> | undefined) => AccountIndex | undefined;

/**
 * Creates a reader of account indexes. An index is built once for each version of the configuration, at the first
 * request after it came into force, and dropped with it.
 *
 * @returns the reader
 *
 * @example
 * const readAccountIndex = createAccountIndexReader();
 * const account = readAccountIndex(clusterView.config)?.findByKey(key);
 */
export function createAccountIndexReader(): AccountIndexReader {
    let built: { readonly of: ServingConfig["accounts"]; readonly index: AccountIndex } | undefined;
    return config => {
        const accounts = config?.accounts;
        if (accounts === undefined) {
            built = undefined;
            return undefined;
        }
        if (built?.of !== accounts) {
            built = { of: accounts, index: buildAccountIndex(accounts) };
        }
        return built.index;
    };
}
