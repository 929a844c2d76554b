import type { StandinAccount } from "@fulmarcleat/platform-standin";

/** The accounts of all configurations that the store has held. */
export interface KeyHistory {
    /** Accounts of the newest configuration. */
    readonly accounts: readonly StandinAccount[];
    /** Records that the store holds these accounts from now on. */
    record(accounts: readonly StandinAccount[], atMs: number): void;
    /** Records that the store has gone back to an earlier configuration, for some time from now on. */
    recordReturn(atMs: number): void;
    /**
     * Lists the accounts that a key may belong to at a host that confirms its configuration, at any time between two
     * moments; undefined stands for no account.
     */
    listOwners(apiKey: string | undefined, fromMs: number, untilMs: number): ReadonlySet<string | undefined>;
}

/**
 * Longest time until a configuration is in force, in milliseconds: the platform's 3 s and a second for a busy machine.
 */
const CONFIG_TIMEOUT_MS = 4000;

/**
 * Creates the history of the accounts' keys, without any configuration.
 *
 * @returns the history
 *
 * @example
 * const history = createKeyHistory();
 * history.record(accounts, performance.now());
 */
export function createKeyHistory(): KeyHistory {
    const periods: { readonly accounts: readonly StandinAccount[]; readonly fromMs: number; untilMs: number }[] = [];
    return {
        get accounts() {
            return periods.at(-1)?.accounts ?? [];
        },
        record(accounts, atMs) {
            const last = periods.at(-1);
            if (last !== undefined) {
                last.untilMs = atMs + CONFIG_TIMEOUT_MS;
            }
            periods.push({ accounts, fromMs: atMs, untilMs: Infinity });
        },
        recordReturn(atMs) {
            periods.forEach(period => period.untilMs = Math.max(period.untilMs, atMs + CONFIG_TIMEOUT_MS));
        },
        listOwners(apiKey, fromMs, untilMs) {
            const met = periods.filter(period => period.fromMs <= untilMs && period.untilMs >= fromMs);
            return new Set(
                met.map(({ accounts }) =>
                    accounts.find(({ keys }) => apiKey !== undefined && keys.includes(apiKey))?.name
                ),
            );
        },
    };
}
