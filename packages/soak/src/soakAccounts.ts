import type { Random } from "@fulmarcleat/ids";
import type { StandinAccount } from "@fulmarcleat/platform-standin";

/** Start of every key, by which keys are found in logs. */
export const KEY_PREFIX = "soak-key-";
/** Name of the account whose clients send several times more than its limit. */
export const BUSY_ACCOUNT = "busy";
/** Tokens of a request that states none; a host that decides alone may admit one more each second. */
const PLAIN_TOKENS = 1500;
/** Keys that clients use and that accounts get and lose. */
const KEYS = Array.from({ length: 12 }, (value, index) => `${KEY_PREFIX}${index}`);
/** Share of requests that come with no key, and with a key that is in no configuration. */
const NO_KEY_SHARE = 0.05;
const NEVER_VALID_SHARE = 0.1;
/** Share of requests that state an account themselves. */
const STATED_SHARE = 0.2;
/** Probability that a key that is taken from its account isn't given to another one. */
const REVOKED_SHARE = 0.3;

/** Accounts of the first configuration; the last keys belong to none. */
export const FIRST_ACCOUNTS: readonly StandinAccount[] = [
    { name: "unlimited", keys: KEYS.slice(0, 3) },
    { name: "steady", keys: KEYS.slice(3, 6), limit: createLimit(640_000) },
    { name: BUSY_ACCOUNT, keys: KEYS.slice(6, 9), limit: createLimit(29_000) },
];

/**
 * Takes a random key from its account, if it has one, and gives it to a random account or to none.
 *
 * @param accounts - Accounts before the change
 * @param random - Seeded random number generator
 * @returns the accounts after the change
 *
 * @example
 * fleet.publishNewConfig(moveKey(fleet.keys.accounts, random));
 */
export function moveKey(accounts: readonly StandinAccount[], random: Random): readonly StandinAccount[] {
    const moved = draw(KEYS, random);
    const owner = random.next() < REVOKED_SHARE ? undefined : draw(accounts, random);
    return accounts.map(account => {
        const others = account.keys.filter(key => key !== moved);
        return { ...account, keys: account === owner ? [...others, moved] : others };
    });
}

/**
 * Draws the key of a request and the account that its client states: mostly one of the keys that accounts get and lose.
 *
 * @param random - Seeded random number generator
 * @returns the key and the stated account
 *
 * @example
 * const req = { ...drawRequest(random, fleet, range), ...drawCredentials(random) };
 */
export function drawCredentials(
    random: Random,
): { readonly apiKey: string | undefined; readonly statedAccount: string | undefined } {
    const share = random.next();
    const key = draw(KEYS, random);
    const statedAccount = random.next() < STATED_SHARE ? draw(FIRST_ACCOUNTS, random).name : undefined;
    const apiKey = share < NO_KEY_SHARE
        ? undefined
        : share < NO_KEY_SHARE + NEVER_VALID_SHARE
        ? `${key}-never-valid`
        : key;
    return { apiKey, statedAccount };
}

/** Creates a limit of the platform's size; the slack of its bound is made for these. */
function createLimit(perSecond: number): StandinAccount["limit"] {
    return { perSecond, burst: perSecond, plainTokens: PLAIN_TOKENS };
}

function draw<T>(items: readonly T[], random: Random): T {
    const item = items[Math.floor(items.length * random.next())];
    if (item === undefined) {
        throw new RangeError("no item to draw");
    }
    return item;
}
