import type { RateLimit } from "@fulmarcleat/directory";

/** What an account may use at most in each sliding window. */
export interface WindowBound {
    readonly windowMs: number;
    /** Share by which an account may exceed what its rate and burst allow in a window. */
    readonly excessRatio: number;
    /** Units by which it may exceed that in addition. */
    readonly slack: number;
}

/** What a host has granted in place of another one. */
export interface InterimGrants {
    /** Level of its bucket. */
    readonly level: number;
    /** Cost that it has granted since it took over. */
    readonly spent: number;
    /** Number of the period that began when it took over. */
    readonly period: number;
}

/** Decision on a batch of requests of one account. */
export interface BucketGrant {
    /** How many of the requests are granted, counted from the first. */
    readonly granted: number;
    /** Time until the next request may fit, in milliseconds; 0 if all were granted. */
    readonly readyInMs: number;
    /** Cost granted in the window that ends now. */
    readonly used: number;
}

/** Token bucket of one account; the host that grants for the account holds it. */
export interface AccountBucket {
    /** Applies a limit of a new configuration; a lowered one caps the level. */
    setLimit(limit: RateLimit, bound: WindowBound): void;
    /** Begins to grant in place of another host, which may have granted a full window; `period` numbers the grants. */
    takeOver(period: number, atMs: number): void;
    /** Fills the bucket, if no other host can have granted anything before. */
    fill(): void;
    /** Ends granting; the level no longer rises until the next `takeOver`. */
    release(atMs: number): void;
    /** Skips the refill of a time in which this host did not run and another one may have granted. */
    skipPause(pausedMs: number, atMs: number): void;
    /** Takes into account what another host has granted in place of this one. */
    merge(interim: InterimGrants, atMs: number): void;
    /** Returns what has been granted since `takeOver`. */
    readInterim(atMs: number): InterimGrants;
    request(costs: readonly number[], atMs: number): BucketGrant;
    /** Charges what a host has admitted without a grant. */
    charge(cost: number, atMs: number): void;
    /** Returns the cost of a request that was granted `agoMs` ago and did not run. */
    giveBack(cost: number, agoMs: number, atMs: number): void;
}

/** Parts of the window in which granted costs are summed. */
const SLOTS = 32;
/** Part of the slack with which a bucket may start. */
const START_SLACK_PART = 0.25;
/** Time at the rate with which a bucket may start, in milliseconds. */
const START_RATE_MS = 500;
/** Level from which a request is granted, whatever it costs; a large one takes the level below zero. */
const GRANT_LEVEL = 1;
/** Cost of the largest request of the platform, in tokens, by which a bucket may be overdrawn. */
const LARGEST_REQUEST_TOKENS = 51_000;
/** Buckets that may be overdrawn within one window: that of a granter, and that of the host which takes its place. */
const BUCKETS = 2;
/** Time for which a granter that has lost its connections may go on beside its substitute, in milliseconds. */
const OVERLAP_MS = 300;
/** Most periods of other hosts whose grants are remembered as merged. */
const MAX_MERGED = 16;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Creates the bucket of an account. It grants while its level is positive, and smaller requests then also within the
 * overdraft that one large request may cause, while the sum over the sliding window stays within the bound. It holds the burst, and what the bound leaves beyond it once another granter that has granted
 * a full window just before is accounted for.
 *
 * @param limit - Rate and burst over all hosts together
 * @param bound - What the account may use at most in each sliding window
 * @param atMs - Clock reading, in milliseconds
 * @returns the bucket, at the level with which a new granter starts
 *
 * @example
 * const bucket = createAccountBucket(limit, { windowMs: 8000, excessRatio: 0.1, slack: 110_000 }, clock.nowMs());
 * bucket.request([5000, 1200], clock.nowMs()).granted; // 2
 */
export function createAccountBucket(limit: RateLimit, bound: WindowBound, atMs: number): AccountBucket {
    let { perSecond } = limit;
    let capacity = 0;
    let startLevel = 0;
    let allowed = 0;
    let overdraft = 0;
    /**
     * Whether smaller requests may use the overdraft as well. It ends with the first refusal, until the level is positive
     * again; otherwise small requests would keep the level so low in a burst that no large one ever fits.
     */
    let isOpen = false;
    let windowMs = bound.windowMs;
    let slotMs = 0;
    /** Costs granted, by the number of the slot; one slot more than the window, since the oldest counts in full. */
    const slots = new Float64Array(SLOTS + 1);
    let lastSlot = 0;
    let used = 0;
    let level = 0;
    let spent = 0;
    let period = 0;
    /** What would have been refilled in pauses. */
    let skipped = 0;
    /** What other hosts have granted in periods in which they stood in, as far as it has been merged. */
    const merged = new Map<number, number>();
    let mergedMs = -Infinity;
    let replacedPeriod: number | undefined;
    let refilledMs = atMs;
    let releasedMs: number | undefined;

    const readSlot = (number: number): number => slots[number % slots.length] ?? 0;
    const addToSlot = (number: number, cost: number): void => {
        slots[number % slots.length] = readSlot(number) + cost;
        used += cost;
    };
    /** Drops the slots that the window has left. */
    const advance = (nowMs: number): void => {
        const slot = Math.floor(nowMs / slotMs);
        const first = Math.max(lastSlot + 1, slot - SLOTS);
        for (let next = first; next <= slot; next += 1) {
            used -= readSlot(next);
            slots[next % slots.length] = 0;
        }
        if (slot - lastSlot > SLOTS) {
            used = 0;
        }
        lastSlot = Math.max(lastSlot, slot);
    };
    const refill = (nowMs: number): void => {
        if (releasedMs === undefined) {
            level = Math.min(capacity, level + Math.max(0, nowMs - refilledMs) * perSecond / MS_PER_S);
        }
        refilledMs = Math.max(refilledMs, nowMs);
    };
    /** Returns the time until the window has room for a cost, in milliseconds. */
    const findWindowWait = (cost: number, nowMs: number): number => {
        let excess = used + cost - allowed;
        if (excess <= 0) {
            return 0;
        }
        for (let slot = Math.max(0, lastSlot - SLOTS); slot <= lastSlot; slot += 1) {
            excess -= readSlot(slot);
            if (excess <= 0) {
                return Math.max(1, (slot + SLOTS + 1) * slotMs - nowMs);
            }
        }
        return windowMs;
    };
    const setLimit = (next: RateLimit, { windowMs: length, excessRatio, slack }: WindowBound): void => {
        // The slack is stated in tokens; limits that count requests get none of it.
        const ownSlack = next.unit === "tokens" ? slack : 0;
        perSecond = next.perSecond;
        const expected = perSecond * length / MS_PER_S + next.burst;
        const former = allowed;
        allowed = expected * (1 + excessRatio) + Math.max(ownSlack, GRANT_LEVEL);
        if (allowed < former) {
            // What was granted under a higher limit must not use up the lowered one.
            slots.forEach((cost, index) => void (slots[index] = cost * allowed / former));
            used *= allowed / former;
        }
        overdraft = next.unit === "tokens" ? LARGEST_REQUEST_TOKENS : 0;
        // What the bound leaves beyond one full bucket goes to the start of another granter first, then to this bucket.
        const room = allowed - expected - BUCKETS * overdraft - perSecond * OVERLAP_MS / MS_PER_S;
        const start = Math.max(ownSlack * START_SLACK_PART, perSecond * START_RATE_MS / MS_PER_S);
        startLevel = Math.max(GRANT_LEVEL, Math.min(start, room));
        capacity = Math.max(GRANT_LEVEL, next.burst + Math.max(0, room - startLevel));
        startLevel = Math.min(capacity, startLevel);
        level = Math.min(level, capacity);
        if (length !== windowMs || slotMs === 0) {
            windowMs = length;
            slotMs = length / SLOTS;
            slots.fill(0);
            used = 0;
            lastSlot = Math.floor(refilledMs / slotMs);
        }
    };
    setLimit(limit, bound);
    level = startLevel;
    return {
        setLimit,
        takeOver(nextPeriod, nowMs) {
            if (releasedMs !== undefined) {
                // What an earlier start has used comes back over a window, so that repeated starts add up to one.
                const recovered = level + (nowMs - releasedMs) * startLevel / windowMs;
                level = Math.min(startLevel, recovered);
                releasedMs = undefined;
            }
            spent = 0;
            period = nextPeriod;
            refilledMs = nowMs;
        },
        fill: () => void (level = capacity),
        release(nowMs) {
            refill(nowMs);
            releasedMs ??= nowMs;
        },
        skipPause(pausedMs, nowMs) {
            const resumedMs = Math.min(nowMs, refilledMs + pausedMs);
            skipped += Math.max(0, resumedMs - refilledMs) * perSecond / MS_PER_S;
            refilledMs = resumedMs;
        },
        merge(interim, nowMs) {
            refill(nowMs);
            const isNew = merged.get(interim.period) === undefined;
            const added = Math.max(0, interim.spent - (merged.get(interim.period) ?? 0));
            merged.set(interim.period, Math.max(interim.spent, merged.get(interim.period) ?? 0));
            const oldest = merged.keys().next();
            if (merged.size > MAX_MERGED && oldest.done !== true) {
                merged.delete(oldest.value);
            }
            const shared = Math.min(capacity, level + skipped) - added;
            skipped = 0;
            // The other bucket may stand in for this one, but only once in a window, as it began with a level of its own.
            if (isNew) {
                replacedPeriod = nowMs - mergedMs >= windowMs ? interim.period : undefined;
                mergedMs = nowMs;
            }
            level = interim.period === replacedPeriod ? Math.max(shared, Math.min(level, interim.level)) : shared;
        },
        readInterim(nowMs) {
            refill(nowMs);
            return { level, spent, period };
        },
        request(costs, nowMs) {
            refill(nowMs);
            advance(nowMs);
            let granted = 0;
            let readyInMs = 0;
            for (const cost of costs) {
                const needed = Math.min(cost, GRANT_LEVEL);
                const levelWaitMs = perSecond > 0 ? Math.max(0, needed - level) * MS_PER_S / perSecond : windowMs;
                const isCovered = level >= needed || (isOpen && level - cost >= -overdraft);
                readyInMs = Math.max(isCovered ? 0 : levelWaitMs, findWindowWait(cost, nowMs));
                isOpen = readyInMs === 0;
                if (!isOpen) {
                    break;
                }
                level -= cost;
                spent += cost;
                addToSlot(lastSlot, cost);
                granted += 1;
            }
            return { granted, readyInMs, used };
        },
        charge(cost, nowMs) {
            refill(nowMs);
            advance(nowMs);
            level -= cost;
            addToSlot(lastSlot, cost);
        },
        giveBack(cost, agoMs, nowMs) {
            refill(nowMs);
            advance(nowMs);
            level = Math.min(capacity, level + cost);
            spent -= cost;
            const slot = Math.floor((nowMs - agoMs) / slotMs);
            if (slot >= 0 && slot >= lastSlot - SLOTS && slot <= lastSlot) {
                addToSlot(slot, -Math.min(cost, readSlot(slot)));
            }
        },
    };
}
