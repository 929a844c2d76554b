import { createAccountBucket } from "@fulmarcleat/accounts";
import type { AccountBucket, InterimGrants, WindowBound } from "@fulmarcleat/accounts";
import type { RateLimit } from "@fulmarcleat/directory";
import type { AccountName, HostId } from "@fulmarcleat/ids";
import type { AccountGrantReply, AccountReturn } from "@fulmarcleat/wire";
import type { FrontContext } from "../frontContext.js";

/** A batch of requests that this host decides on. */
export interface GrantBatch {
    readonly account: AccountName;
    readonly limit: RateLimit;
    readonly costs: readonly number[];
    /** Cost that the host has admitted without a grant since the last reply. */
    readonly owed: number;
    /** The host that sends the requests, and its number of the batch. */
    readonly host: HostId;
    readonly batch: number;
}

/** In which role a host grants for an account. */
export type GranterRole = "granter" | "substitute";

/** The buckets of the accounts that this host grants for. */
export interface AccountGranter {
    /** Decides on a batch; one that has been decided on before gets the same reply. */
    decide(batch: GrantBatch, role: GranterRole): AccountGrantReply;
    /** Returns what this host has granted in place of the granter; undefined if it does not do so. */
    readInterim(account: AccountName): InterimGrants | undefined;
    /** Takes into account what another host has granted in place of this one. */
    merge(account: AccountName, interim: InterimGrants): void;
    /** Ends granting in place of the granter, which has been told of `told`; goes on if more has been granted since. */
    release(account: AccountName, told: InterimGrants | undefined): void;
    giveBack(returned: AccountReturn): void;
    /** Applies the limits of a new configuration and the roles that follow from a change of the hosts. */
    update(
        readLimit: (account: AccountName) => RateLimit | undefined,
        isFirst: (account: AccountName) => boolean,
    ): void;
    /** Skips the refill of a time in which this process did not run. */
    skipPause(pausedMs: number): void;
}

interface Held {
    readonly bucket: AccountBucket;
    limit: RateLimit;
    /** Undefined while another host grants. */
    role: GranterRole | undefined;
    period: number;
    /** Replies by host and batch, oldest first, and when they were given, in milliseconds. */
    readonly replies: Map<string, { readonly reply: AccountGrantReply; readonly atMs: number }>;
}

/** Time for which a reply is remembered, in milliseconds; a batch arrives again within the time-outs of its sender. */
const REPLY_MEMORY_MS = 1000;
/**
 * Time after the first start of the whole system within which buckets start full, in milliseconds. It is shorter than the
 * lease of a host, so that no granter has taken over from one that granted.
 */
const FIRST_START_MS = 5000;
const PERIOD_RANGE = 2 ** 31;

/**
 * Creates the buckets of the accounts that this host grants for.
 *
 * @param context - Clock, random numbers and name of this host
 * @param readBound - Returns what an account may use at most in each window
 * @returns the buckets, none yet
 *
 * @example
 * const granter = createAccountGranter(context, readBound);
 */
export function createAccountGranter(
    { clock, deployment, random }: Pick<FrontContext, "clock" | "deployment" | "random">,
    readBound: () => WindowBound,
): AccountGranter {
    const buckets = new Map<AccountName, Held>();
    const startedMs = clock.nowMs();
    const getHeld = (account: AccountName, limit: RateLimit, role: GranterRole): Held => {
        const existing = buckets.get(account);
        if (existing !== undefined) {
            return existing;
        }
        const bucket = createAccountBucket(limit, readBound(), clock.nowMs());
        if (role === "granter" && deployment.isFirstStart && clock.nowMs() - startedMs < FIRST_START_MS) {
            bucket.fill();
        }
        const held: Held = { bucket, limit, role: undefined, period: 0, replies: new Map() };
        buckets.set(account, held);
        return held;
    };
    const releaseHeld = (held: Held): void => {
        if (held.role !== undefined) {
            held.bucket.release(clock.nowMs());
            held.role = undefined;
        }
    };
    return {
        decide({ account, limit, costs, owed, host, batch }, role) {
            const nowMs = clock.nowMs();
            const held = getHeld(account, limit, role);
            const key = `${host}/${batch}`;
            const known = held.replies.get(key);
            if (known !== undefined) {
                return known.reply;
            }
            if (held.role === undefined) {
                held.period = Math.floor(random.next() * PERIOD_RANGE);
                held.bucket.takeOver(held.period, nowMs);
            }
            held.role = role;
            if (held.limit !== limit) {
                held.limit = limit;
                held.bucket.setLimit(limit, readBound());
            }
            if (owed > 0) {
                held.bucket.charge(owed, nowMs);
            }
            const { granted, readyInMs, used } = held.bucket.request(costs, nowMs);
            const reply: AccountGrantReply = {
                via: role,
                granted,
                readyInMs: Math.ceil(readyInMs),
                used: Math.round(used),
                by: deployment.host,
                period: held.period,
            };
            for (const [old, { atMs }] of held.replies) {
                if (nowMs - atMs < REPLY_MEMORY_MS) {
                    break;
                }
                held.replies.delete(old);
            }
            held.replies.set(key, { reply, atMs: nowMs });
            return reply;
        },
        readInterim(account) {
            const held = buckets.get(account);
            if (held?.role !== "substitute") {
                return undefined;
            }
            const { level, spent, period } = held.bucket.readInterim(clock.nowMs());
            return { level: Math.round(level), spent: Math.round(spent), period };
        },
        merge(account, interim) {
            buckets.get(account)?.bucket.merge(interim, clock.nowMs());
        },
        release(account, told) {
            const held = buckets.get(account);
            if (held?.role === "substitute" && told?.period === held.period) {
                const { spent } = held.bucket.readInterim(clock.nowMs());
                if (Math.round(spent) <= told.spent) {
                    releaseHeld(held);
                }
            }
        },
        giveBack({ account, cost, agoMs, period }) {
            const held = buckets.get(account);
            // A cost that was charged before a break is no longer in the level.
            if (held?.role !== undefined && held.period === period) {
                held.bucket.giveBack(cost, agoMs, clock.nowMs());
            }
        },
        update(readLimit, isFirst) {
            for (const [account, held] of buckets) {
                const limit = readLimit(account);
                if (limit === undefined) {
                    buckets.delete(account);
                    continue;
                }
                if (limit !== held.limit) {
                    held.bucket.setLimit(limit, readBound());
                    held.limit = limit;
                }
                if (held.role === "granter" && !isFirst(account)) {
                    releaseHeld(held);
                }
            }
        },
        skipPause(pausedMs) {
            buckets.forEach(({ bucket }) => bucket.skipPause(pausedMs, clock.nowMs()));
        },
    };
}
