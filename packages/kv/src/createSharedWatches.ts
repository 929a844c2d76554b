import type { KvDriver, KvEntry } from "@fulmarcleat/drivers";
import { sleep } from "@fulmarcleat/ids";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { CallLimiter } from "./createCallLimiter.js";
import type { KvPurpose } from "./createKvClient.js";

/** Dependencies and settings of shared watches. */
export interface SharedWatchOptions {
    readonly driver: KvDriver;
    readonly limiter: CallLimiter;
    readonly clock: Clock;
    /** Delay before an interrupted watch is reopened, in milliseconds. */
    readonly retryDelayMs: number;
    /** Time between two reads that check an open watch, in milliseconds. */
    readonly checkIntervalMs: number;
}

/** Watches of keys; all subscribers of a key share one call. */
export interface SharedWatches {
    /** Calls `notify` with the current and each later value of a key until `signal` aborts. */
    add(purpose: KvPurpose, key: string, notify: (entry: KvEntry) => void, signal: AbortSignal): void;
    /** Number of open watches. */
    readonly size: number;
}

/** One open watch and its subscribers. */
interface SharedWatch {
    readonly purpose: KvPurpose;
    readonly key: string;
    readonly subscribers: Set<(entry: KvEntry) => void>;
    readonly abortController: AbortController;
    lastEntry: KvEntry | undefined;
}

/**
 * Creates the watches that the subscribers in a process share.
 *
 * @param options - Driver, call limiter, clock and intervals
 * @returns the watches
 *
 * @example
 * watches.add("config", key, entry => apply(entry), signal);
 */
export function createSharedWatches(options: SharedWatchOptions): SharedWatches {
    const watches = new Map<string, SharedWatch>();
    const open = (purpose: KvPurpose, key: string): SharedWatch => {
        const watch: SharedWatch = {
            purpose,
            key,
            subscribers: new Set(),
            abortController: new AbortController(),
            lastEntry: undefined,
        };
        watches.set(key, watch);
        void maintainWatch(watch, options);
        return watch;
    };
    return {
        add(purpose, key, notify, signal) {
            if (signal.aborted) {
                return;
            }
            const watch = watches.get(key) ?? open(purpose, key);
            const deliver = (entry: KvEntry): void => notify(entry);
            watch.subscribers.add(deliver);
            signal.addEventListener("abort", () => {
                watch.subscribers.delete(deliver);
                if (watch.subscribers.size === 0) {
                    watches.delete(key);
                    watch.abortController.abort();
                }
            }, { once: true });
            if (watch.lastEntry !== undefined) {
                deliver(watch.lastEntry);
            }
        },
        get size() {
            return watches.size;
        },
    };
}

async function maintainWatch(watch: SharedWatch, options: SharedWatchOptions): Promise<void> {
    const { signal } = watch.abortController;
    while (!signal.aborted) {
        const watchController = new AbortController();
        const cancelCheck = startPeriodicCheck(watch, options, watchController);
        try {
            deliverNewer(watch, await readKey(watch, options));
            await streamEvents(watch, options, AbortSignal.any([signal, watchController.signal]));
        }
        catch {
            await sleep(options.clock, options.retryDelayMs);
        }
        finally {
            cancelCheck();
        }
    }
}

function readKey({ purpose, key }: SharedWatch, { driver, limiter }: SharedWatchOptions): Promise<KvEntry | undefined> {
    return limiter.run(purpose, "get", () => driver.get(key));
}

async function streamEvents(
    watch: SharedWatch,
    { driver, limiter }: SharedWatchOptions,
    signal: AbortSignal,
): Promise<void> {
    await limiter.runWatch(watch.purpose, async () => {
        try {
            for await (const event of driver.watch(watch.key, watch.lastEntry?.revision ?? 0, signal)) {
                deliverNewer(watch, event.kind === "put" ? event.entry : undefined);
            }
        }
        catch (err) {
            if (!signal.aborted) {
                throw err;
            }
        }
    });
}

/** Reads the key periodically; a watch that missed a newer value is unresponsive and is replaced. */
function startPeriodicCheck(
    watch: SharedWatch,
    options: SharedWatchOptions,
    watchController: AbortController,
): CancelTimer {
    let cancel: CancelTimer = () => undefined;
    let isStopped = false;
    const check = async (): Promise<void> => {
        const known = watch.lastEntry?.revision ?? 0;
        const entry = await readKey(watch, options).catch(() => undefined);
        if (!isStopped && entry !== undefined && entry.revision > known && watch.lastEntry?.revision === known) {
            watchController.abort();
            deliverNewer(watch, entry);
        }
        schedule();
    };
    const schedule = (): void => {
        if (!isStopped && !watchController.signal.aborted) {
            cancel = options.clock.setTimer(options.checkIntervalMs, () => void check());
        }
    };
    schedule();
    return () => {
        isStopped = true;
        cancel();
    };
}

function deliverNewer(watch: SharedWatch, entry: KvEntry | undefined): void {
    if (entry === undefined || entry.revision <= (watch.lastEntry?.revision ?? 0)) {
        return;
    }
    watch.lastEntry = entry;
    [...watch.subscribers].forEach(notify => notify(entry));
}
