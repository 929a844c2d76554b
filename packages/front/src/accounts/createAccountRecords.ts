import type { Metrics } from "@fulmarcleat/events";
import type { AccountName } from "@fulmarcleat/ids";

/** Accounts of the requests in flight, for log lines and counters; a request is identified by its response. */
export interface AccountRecords {
    /** Records the account of a request; undefined if it belongs to none. */
    set(request: object, account: AccountName | undefined): void;
    /** Returns the account of a request; undefined if none is known. */
    find(request: object): AccountName | undefined;
    /** Counts the refusal of a request that belongs to an account, or would need to. */
    countRefusal(request: object, reason: string): void;
}

/** Accounts that are counted by name; 10,000 with several reasons each would take a host's memory budget. */
const MAX_COUNTED_ACCOUNTS = 1000;
/** Label of all further accounts together. */
const OTHER_ACCOUNTS = "(other)";
/** Label of refusals without a valid key; Prometheus treats an empty label as none. */
const NO_ACCOUNT = "";

/**
 * Creates the records of requests' accounts.
 *
 * @param metrics - Counters of the process
 * @returns the records, empty
 *
 * @example
 * const records = createAccountRecords(metrics);
 * records.set(res, account?.name);
 */
export function createAccountRecords(metrics: Pick<Metrics, "count">): AccountRecords {
    const accounts = new WeakMap<object, AccountName>();
    const counted = new Set<AccountName>();
    const chooseLabel = (account: AccountName): string => {
        if (counted.size < MAX_COUNTED_ACCOUNTS) {
            counted.add(account);
        }
        return counted.has(account) ? account : OTHER_ACCOUNTS;
    };
    return {
        set(request, account) {
            if (account === undefined) {
                accounts.delete(request);
            }
            else {
                accounts.set(request, account);
            }
        },
        find: request => accounts.get(request),
        countRefusal(request, reason) {
            const account = accounts.get(request);
            if (account !== undefined) {
                metrics.count("account_refusals_total", { account: chooseLabel(account), reason });
            }
            else if (reason === "unauthenticated") {
                metrics.count("account_refusals_total", { account: NO_ACCOUNT, reason });
            }
        },
    };
}
