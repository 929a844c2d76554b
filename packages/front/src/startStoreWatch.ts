import { chooseWatchWait } from "@fulmarcleat/directory";
import type { KeyFeed } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { FrontContext } from "./frontContext.js";
import type { StoreHealth } from "./storeHealth.js";

/** Settings of a watch. */
export interface StoreWatchOptions {
    readonly prefix: string;
    /** Receives the keys and their changes. */
    readonly feed: KeyFeed;
    /** Returns the shortest time between two calls, in milliseconds; changes in between arrive together. */
    readonly readIntervalMs: () => number;
    /** Returns the longest time for which a change may go unnoticed, in milliseconds. */
    readonly maxAgeMs: () => number;
    /** Returns the longest wait of a call at the store, in milliseconds. */
    readonly maxWaitMs: () => number;
    /** Returns the time over which hosts spread their lists after changes were missed, in milliseconds. */
    readonly listSpreadMs: () => number;
    /** Whether the feed is kept up to date from elsewhere, so that the store need not be read. */
    readonly isFollowing: () => boolean;
    /** Whether the keys are to be listed, since their changes are many times larger than what is in the store. */
    readonly isLarge: () => boolean;
}

/** A running watch. */
export interface StoreWatch {
    /** Whether the last call to the store failed; false while another source keeps the feed up to date. */
    readonly isFailing: boolean;
    stop(): void;
}

/** Delay after the first failed watch call, in milliseconds; doubles with each further failure. */
const INITIAL_RETRY_DELAY_MS = 150;
/** Longest delay after failed watch calls, in milliseconds. */
const MAX_RETRY_DELAY_MS = 700;
/** Interval between two checks whether the store must be read again, in milliseconds. */
const FOLLOW_CHECK_INTERVAL_MS = 100;

/**
 * Watches the keys below a prefix at the store while no other source keeps their feed up to date.
 *
 * @param context - Store, clock, metrics and log
 * @param health - Records whether the store answers
 * @param options - Key prefix, feed, interval and waits of the calls
 * @returns the running watch
 *
 * @example
 * startStoreWatch(context, health, { prefix: "op/", feed, readIntervalMs, maxAgeMs, ...sources });
 */
export function startStoreWatch(
    context: FrontContext,
    health: StoreHealth,
    { prefix, feed, readIntervalMs, maxAgeMs, maxWaitMs, listSpreadMs, isFollowing, isLarge }: StoreWatchOptions,
): StoreWatch {
    const { clock, log, metrics, random, store } = context;
    let isStopped = false;
    let isFailing = false;
    /** Whether the next call lists the keys, since changes are no longer kept. */
    let mustList = true;
    const read = async (isFirst: boolean): Promise<void> => {
        const from = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
        // The changes since hold a value once for each version of it, a list only the newest one.
        if (mustList || feed.revision === undefined || isLarge()) {
            const { items, revision } = await store.list(prefix);
            health.recordCall(true, "list keys");
            mustList = false;
            // The pages of a list are read one after the other; only what was there before the first is certain.
            feed.takeList(items, revision, { atMs: from.nowMs, from });
            return;
        }
        // A call that waits would tell only at the end of its wait that the store still doesn't answer.
        const waitMs = isFirst ? 0 : Math.min(maxWaitMs(), chooseWatchWait(readIntervalMs(), maxAgeMs()));
        const reply = await store.watch(prefix, feed.revision, waitMs);
        health.recordCall(true, "watch keys");
        if (reply.kind === "compacted") {
            log.write("warn", 604, { prefix, afterRevision: feed.revision });
            mustList = true;
            // Another host's list may come first, and be followed.
            await sleep(clock, listSpreadMs() * random.next());
            return;
        }
        feed.takeEvents(reply.events, reply.revision, { atMs: clock.nowMs(), from });
    };
    const run = async (): Promise<void> => {
        let pauseMs = INITIAL_RETRY_DELAY_MS;
        let isFirst = false;
        while (!isStopped) {
            if (feed.revision !== undefined && isFollowing()) {
                mustList = false;
                isFirst = true;
                isFailing = false;
                await sleep(clock, FOLLOW_CHECK_INTERVAL_MS);
                continue;
            }
            const calledAtMs = clock.nowMs();
            try {
                await read(isFirst);
                isFirst = false;
                isFailing = false;
                pauseMs = INITIAL_RETRY_DELAY_MS;
                await sleep(clock, readIntervalMs());
            }
            catch (err) {
                const { step, message } = toServeError(err, INTERNAL);
                metrics.count("store_failures_total", { step });
                const atMs = clock.nowMs();
                const { confirmation } = feed;
                log.write("warn", 603, {
                    step,
                    prefix,
                    reason: message,
                    waitedMs: Math.round(atMs - calledAtMs),
                    viewAgeMs: confirmation === undefined ? undefined : Math.round(atMs - confirmation.atMs),
                });
                health.recordCall(false, step);
                isFirst = true;
                isFailing = true;
                await sleep(clock, pauseMs * (0.5 + random.next()));
                pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2);
            }
        }
    };
    void run();
    return {
        get isFailing() {
            return isFailing;
        },
        stop: () => void (isStopped = true),
    };
}

const INTERNAL = { code: "internal", step: "follow keys", peer: "self", outcome: "not_run" } as const;
