import type { ClientAccount } from "@fulmarcleat/directory";
import type { AccountName, ApiKey } from "@fulmarcleat/ids";
import type { AccountIndex } from "./buildAccountIndex.js";

/** What a request states of its account. */
export interface RequestCredentials {
    /** API key that the client sent; undefined if it sent none. */
    readonly apiKey: ApiKey | undefined;
    /** What the host states that handed the request to this one; undefined if a client sent it here. */
    readonly forwarded: { readonly account: AccountName | undefined } | undefined;
}

/** What a host knows of accounts and of its configuration. */
export interface AuthenticationTerms {
    /** Accounts of the configuration; undefined if it has none, so that no request needs a key. */
    readonly index: AccountIndex | undefined;
    /** Whether the requests of the route need no key. */
    readonly isAnonymous: boolean;
    /** Tells whether a newer configuration that must be in force by now would be known. */
    readonly isCurrent: () => boolean;
    /** Time since the configuration was last confirmed, in milliseconds; undefined if it never was. */
    readonly confirmedAgoMs: number | undefined;
    /** Time for which keys are accepted after a confirmation, in milliseconds; undefined for any time. */
    readonly maxConfirmedAgoMs: number | undefined;
}

/** Account of a request, or why it is refused. */
export type Authentication =
    /** The request belongs to no account and needs none. */
    | { readonly kind: "no_account" }
    | { readonly kind: "account"; readonly account: ClientAccount }
    /** The key is missing or unknown, which another attempt doesn't change. */
    | { readonly kind: "unauthenticated" }
    /** This host can't tell; another one, or this one later, may accept the request. */
    | { readonly kind: "undecided" };

/**
 * Decides which account a request belongs to. A request of another host belongs to the account that this host states,
 * which has checked the key; without a statement its key is checked here, but the refusal is never final, since the
 * other host may have another version of the configuration.
 *
 * @param credentials - Key, and the statement of another host
 * @param terms - Accounts and age of the configuration
 * @returns the account, or why the request is refused
 *
 * @example
 * const authentication = authenticateRequest({ apiKey: head.apiKey, forwarded: mark }, terms);
 */
export function authenticateRequest(
    { apiKey, forwarded }: RequestCredentials,
    { index, isAnonymous, isCurrent, confirmedAgoMs, maxConfirmedAgoMs }: AuthenticationTerms,
): Authentication {
    if (isAnonymous) {
        return { kind: "no_account" };
    }
    if (forwarded?.account !== undefined) {
        return { kind: "account", account: index?.findByName(forwarded.account) ?? createUnlisted(forwarded.account) };
    }
    if (index === undefined) {
        return { kind: "no_account" };
    }
    if (maxConfirmedAgoMs !== undefined && !(confirmedAgoMs !== undefined && confirmedAgoMs <= maxConfirmedAgoMs)) {
        return { kind: "undecided" };
    }
    const account = apiKey === undefined ? undefined : index.findByKey(apiKey);
    if (account !== undefined) {
        return { kind: "account", account };
    }
    return forwarded === undefined && isCurrent() ? { kind: "unauthenticated" } : { kind: "undecided" };
}

/** Creates an account that another host knows and this one's version of the configuration doesn't list. */
function createUnlisted(name: AccountName): ClientAccount {
    return { name, keys: [], priority: undefined, limit: undefined };
}
