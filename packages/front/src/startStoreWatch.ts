import { chooseWatchWait } from "@fulmarcleat/directory";
import type { StoreEvent, StoreItem } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { ClockReading } from "@fulmarcleat/residency";
import type { FrontContext } from "./frontContext.js";
import type { StoreHealth } from "./storeHealth.js";

/** Receives the contents and changes of the watched keys. */
export interface StoreListener {
    /** Called with all keys below the prefix, at the start and after missed changes. */
    listed(items: readonly StoreItem[]): void;
    /** Called with the changes since the last call. */
    changed(events: readonly StoreEvent[]): void;
}

/** Settings of a watch. */
export interface StoreWatchOptions {
    readonly prefix: string;
    /** Returns the shortest time between two calls, in milliseconds; changes in between arrive together. */
    readonly readIntervalMs: () => number;
    /** Returns the longest time for which a change may go unnoticed, in milliseconds. */
    readonly maxAgeMs: () => number;
}

/** A running watch. */
export interface StoreWatch {
    /** Clock reading when the store last confirmed what the listener received, in milliseconds; undefined before. */
    readonly confirmedAtMs: number | undefined;
    /** When the call was sent whose reply was the last confirmation; undefined before. */
    readonly confirmedFrom: ClockReading | undefined;
    stop(): void;
}

/** Delay after the first failed watch call, in milliseconds; doubles with each further failure. */
const INITIAL_RETRY_DELAY_MS = 150;
/** Longest delay after failed watch calls, in milliseconds. */
const MAX_RETRY_DELAY_MS = 700;

/**
 * Watches the keys below a prefix; never returns to a revision older than one already received.
 *
 * @param context - Store, clock, metrics and log
 * @param health - Records whether the store answers
 * @param options - Key prefix and interval between calls
 * @param listener - Receives the keys and their changes
 * @returns the running watch
 *
 * @example
 * const options = { prefix: "op/", readIntervalMs: () => 100, maxAgeMs: () => 3000 };
 * startStoreWatch(context, health, options, listener);
 */
export function startStoreWatch(
    context: FrontContext,
    health: StoreHealth,
    options: StoreWatchOptions,
    listener: StoreListener,
): StoreWatch {
    let isStopped = false;
    let revision: number | undefined;
    let confirmedAtMs: number | undefined;
    let confirmedFrom: ClockReading | undefined;
    const read = async (isRetry: boolean): Promise<void> => {
        const sent = { nowMs: context.clock.nowMs(), wallMs: context.clock.wallMs() };
        if (revision === undefined) {
            const { items, revision: listedAt } = await context.store.list(options.prefix);
            health.recordCall(true, "list keys");
            revision = listedAt;
            // The pages of a list are read one after the other; only what was there before the first is certain.
            confirmedAtMs = sent.nowMs;
            listener.listed(items);
            confirmedFrom = sent;
            return;
        }
        // A call that waits would tell only at the end of its wait that the store still doesn't answer.
        const waitMs = isRetry ? 0 : chooseWatchWait(options.readIntervalMs(), options.maxAgeMs());
        const reply = await context.store.watch(options.prefix, revision, waitMs);
        health.recordCall(true, "watch keys");
        if (reply.kind === "compacted") {
            context.log.write("warn", 604, { prefix: options.prefix, afterRevision: revision });
            revision = undefined;
            return;
        }
        confirmedAtMs = context.clock.nowMs();
        revision = Math.max(revision, reply.revision);
        if (reply.events.length > 0) {
            listener.changed(reply.events);
        }
        confirmedFrom = sent;
    };
    const run = async (): Promise<void> => {
        let pauseMs = INITIAL_RETRY_DELAY_MS;
        let isRetry = false;
        while (!isStopped) {
            const calledAtMs = context.clock.nowMs();
            try {
                await read(isRetry);
                isRetry = false;
                pauseMs = INITIAL_RETRY_DELAY_MS;
                await sleep(context.clock, options.readIntervalMs());
            }
            catch (err) {
                const { step, message } = toServeError(err, INTERNAL);
                context.metrics.count("store_failures_total", { step });
                const atMs = context.clock.nowMs();
                context.log.write("warn", 603, {
                    step,
                    prefix: options.prefix,
                    reason: message,
                    waitedMs: Math.round(atMs - calledAtMs),
                    viewAgeMs: confirmedAtMs === undefined ? undefined : Math.round(atMs - confirmedAtMs),
                });
                health.recordCall(false, step);
                isRetry = true;
                await sleep(context.clock, pauseMs * (0.5 + context.random.next()));
                pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2);
            }
        }
    };
    void run();
    return {
        get confirmedAtMs() {
            return confirmedAtMs;
        },
        get confirmedFrom() {
            return confirmedFrom;
        },
        stop: () => void (isStopped = true),
    };
}

const INTERNAL = { code: "internal", step: "follow keys", peer: "self", outcome: "not_run" } as const;
