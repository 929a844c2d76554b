import type { KvDriver, KvEntry } from "@fulmarcleat/drivers";
import type { Clock } from "@fulmarcleat/ids";
import type { CallGate } from "./createCallGate.js";
import type { KvPurpose } from "./createKvClient.js";

/** Settings of the watches. */
export interface SharedWatchOptions {
    readonly driver: KvDriver;
    readonly gate: CallGate;
    readonly clock: Clock;
    /** Pause before a broken watch is opened again, in milliseconds. */
    readonly retryMs: number;
}

/** Watches of keys; one call for each key, whoever asks. */
export interface SharedWatches {
    /** Calls `notify` with the present state and each later one until `signal` ends. */
    add(purpose: KvPurpose, key: string, notify: (entry: KvEntry) => void, signal: AbortSignal): void;
    /** Number of open watches. */
    readonly size: number;
}

interface SharedWatch {
    readonly purpose: KvPurpose;
    readonly key: string;
    readonly subscribers: Set<(entry: KvEntry) => void>;
    readonly stopping: AbortController;
    last: KvEntry | undefined;
}

/**
 * Creates the watches that a process shares.
 *
 * @param options - Driver and clock
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
            stopping: new AbortController(),
            last: undefined,
        };
        watches.set(key, watch);
        void keepWatching(watch, options);
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
                    watch.stopping.abort();
                }
            }, { once: true });
            if (watch.last !== undefined) {
                deliver(watch.last);
            }
        },
        get size() {
            return watches.size;
        },
    };
}

async function keepWatching(watch: SharedWatch, options: SharedWatchOptions): Promise<void> {
    const { driver, gate, clock } = options;
    const { signal } = watch.stopping;
    while (!signal.aborted) {
        try {
            deliverNewer(watch, await gate.run(watch.purpose, "get", () => driver.get(watch.key)));
            await gate.runWatch(watch.purpose, async () => {
                try {
                    for await (const event of driver.watch(watch.key, watch.last?.revision ?? 0, signal)) {
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
        catch {
            await new Promise<void>(resolve => clock.setTimer(options.retryMs, resolve));
        }
    }
}

function deliverNewer(watch: SharedWatch, entry: KvEntry | undefined): void {
    if (entry === undefined || entry.revision <= (watch.last?.revision ?? 0)) {
        return;
    }
    watch.last = entry;
    [...watch.subscribers].forEach(notify => notify(entry));
}
