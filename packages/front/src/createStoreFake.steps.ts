import { joinRevision, splitRevision, STORE_REPLY_TIMEOUT_MS } from "@fulmarcleat/directory";
import type {
    ChangeReply,
    MetadataStore,
    StoreChange,
    StoreEvent,
    StoreItem,
    WatchReply,
} from "@fulmarcleat/directory";
import type { Clock } from "@fulmarcleat/ids";

/** How a store in memory treats calls. */
export type StoreFakeMode = "serving" | "silent" | "rejecting";

/** A store in memory whose connections can go silent. */
export interface StoreFake extends MetadataStore {
    put(key: string, value: Buffer): void;
    remove(key: string): void;
    /** Keys that exist now, below a prefix. */
    listKeys(prefix: string): readonly string[];
    /** Returns the revision of a key's last change; undefined if the key doesn't exist. */
    findRevision(key: string): number | undefined;
    /** Sets how calls are treated from now on. */
    setMode(mode: StoreFakeMode): void;
    /** Lets every call that waits hear nothing for good. */
    silenceOpenCalls(): void;
    /** Removes all keys that hang on the same lease as a key; the lease itself goes on. */
    revokeLease(key: string): void;
    /** Discards the history of changes. */
    compact(): void;
    /** Keeps a copy of the store as it is; returns the call that brings it back, with all that was written since lost. */
    copy(): () => void;
}

/** A watch that waits at the store. */
interface OpenWatch {
    readonly prefix: string;
    readonly after: number;
    readonly answer: (reply: WatchReply) => void;
}

/** A lease that has not ended. */
interface OpenLease {
    readonly ttlMs: number;
    readonly cancelEnd: () => void;
}

/** Time for a reply of the store, in milliseconds, as the deployments state it. */
const REPLY_MS = 4;

/**
 * Creates a store in memory on an injected clock.
 *
 * @param clock - Source of the time
 * @returns the store, empty and serving
 *
 * @example
 * const store = createStoreFake(createManualClock(0));
 */
export function createStoreFake(clock: Clock): StoreFake {
    const items = new Map<string, StoreItem>();
    const leases = new Map<number, OpenLease>();
    let history: StoreEvent[] = [];
    let watches: OpenWatch[] = [];
    let revision = 1;
    let oldestRevision = 1;
    let lastLease = 0;
    let mode: StoreFakeMode = "serving";
    /** Events are in the order of their revisions, so that only the newest ones are looked at. */
    const find = (prefix: string, after: number): readonly StoreEvent[] =>
        history.slice(history.findLastIndex(event => readRevision(event) <= after) + 1)
            .filter(event => readKey(event).startsWith(prefix));
    const answerWatches = (): void => {
        watches = watches.filter(({ prefix, after, answer }) => {
            const events = find(prefix, after);
            if (events.length > 0) {
                answer({ kind: "events", events, revision });
            }
            return events.length === 0;
        });
    };
    /** Answers after the usual time, rejects at once, or fails when the client's timeout expires. */
    const call = <T>(waitMs: number, run: (answer: (reply: T) => void) => void): Promise<T> =>
        new Promise((resolve, reject) => {
            clock.setTimer(waitMs + STORE_REPLY_TIMEOUT_MS, () => reject(new Error("the store did not reply")));
            clock.setTimer(REPLY_MS, () => {
                if (mode === "rejecting") {
                    reject(new Error("the store rejected the call"));
                }
                else if (mode === "serving") {
                    run(resolve);
                }
            });
        });
    const apply = ({ expect, puts, removes }: StoreChange): ChangeReply => {
        if (expect.some(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) !== expected)) {
            return { kind: "conflict", items: [] };
        }
        if (puts.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
            return { kind: "lease_ended" };
        }
        revision += 1;
        for (const put of puts) {
            const item = { ...put, revision };
            items.set(put.key, item);
            history.push({ kind: "put", item });
        }
        for (const key of removes) {
            if (items.delete(key)) {
                history.push({ kind: "removed", key, revision });
            }
        }
        answerWatches();
        return { kind: "written", revision };
    };
    /** Starts a lease's time, or starts it anew at a renewal. */
    const startLease = (lease: number, ttlMs: number): void => {
        leases.get(lease)?.cancelEnd();
        leases.set(lease, { ttlMs, cancelEnd: clock.setTimer(ttlMs, () => endLease(lease)) });
    };
    const endLease = (lease: number): void => {
        leases.get(lease)?.cancelEnd();
        leases.delete(lease);
        const removes = [...items.values()].filter(item => item.lease === lease).map(item => item.key);
        apply({ expect: [], puts: [], removes });
    };
    return {
        list: prefix =>
            call(
                0,
                answer => answer({ items: [...items.values()].filter(item => item.key.startsWith(prefix)), revision }),
            ),
        watch: (prefix, after, waitMs) =>
            call<WatchReply>(waitMs, answer => {
                if (after < oldestRevision) {
                    answer({ kind: "compacted" });
                    return;
                }
                const watch = { prefix, after, answer };
                watches.push(watch);
                clock.setTimer(waitMs, () => {
                    if (watches.includes(watch)) {
                        watches = watches.filter(other => other !== watch);
                        answer({ kind: "events", events: [], revision });
                    }
                });
                answerWatches();
            }),
        change: change => call(0, answer => answer(apply(change))),
        openLease: ttlMs =>
            call(0, answer => {
                lastLease += 1;
                const lease = lastLease;
                startLease(lease, ttlMs);
                answer(lease);
            }),
        renewLease: lease =>
            call(0, answer => {
                const open = leases.get(lease);
                if (open !== undefined) {
                    startLease(lease, open.ttlMs);
                }
                answer(open !== undefined);
            }),
        endLease: lease =>
            call(0, answer => {
                endLease(lease);
                answer(undefined);
            }),
        close: () => undefined,
        put: (key, value) => void apply({ expect: [], puts: [{ key, value, lease: 0 }], removes: [] }),
        remove: key => void apply({ expect: [], puts: [], removes: [key] }),
        listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        findRevision: key => items.get(key)?.revision,
        setMode(next) {
            mode = next;
            if (next !== "serving") {
                watches = [];
            }
        },
        silenceOpenCalls: () => void (watches = []),
        revokeLease(key) {
            const lease = items.get(key)?.lease ?? 0;
            const removes = [...items.values()].filter(item => lease !== 0 && item.lease === lease)
                .map(item => item.key);
            apply({ expect: [], puts: [], removes });
        },
        compact() {
            oldestRevision = revision;
            history = [];
        },
        copy() {
            const copied = { items: [...items.values()], ttls: [...leases].map(([id, { ttlMs }]) => [id, ttlMs]) };
            const copiedRevision = revision;
            return () => {
                const { epoch } = splitRevision(revision);
                const renew = (former: number): number =>
                    joinRevision({ epoch: epoch + 1, revision: splitRevision(former).revision });
                watches = [];
                history = [];
                revision = renew(copiedRevision);
                oldestRevision = revision;
                leases.forEach(lease => lease.cancelEnd());
                leases.clear();
                items.clear();
                // The copy's leases run on, but no host may renew one of a former epoch.
                copied.ttls.forEach(([id = 0, ttlMs = 0]) => startLease(-id, ttlMs));
                copied.items.forEach(item =>
                    items.set(item.key, {
                        ...item,
                        revision: renew(item.revision),
                        lease: item.lease === 0 ? 0 : -item.lease,
                    })
                );
            };
        },
    };
}

function readKey(event: StoreEvent): string {
    return event.kind === "put" ? event.item.key : event.key;
}

function readRevision(event: StoreEvent): number {
    return event.kind === "put" ? event.item.revision : event.revision;
}
