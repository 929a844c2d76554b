import { removeStatedAccount } from "@fulmarcleat/platform";
import type { ClientHead } from "@fulmarcleat/platform";

/**
 * Removes the API key from the decoded headers of a request, and the account's name that the client states if this
 * system states it, so that neither reaches an engine or another host.
 *
 * @param head - Decoded headers of the request
 * @param hasAccounts - Whether the configuration has accounts
 * @returns the headers without them
 *
 * @example
 * const served = removeCredentials(head, clusterView.config?.accounts !== undefined);
 */
export function removeCredentials(head: ClientHead, hasAccounts: boolean): ClientHead {
    return { ...head, apiKey: undefined, forwarded: hasAccounts ? removeStatedAccount(head) : head.forwarded };
}
