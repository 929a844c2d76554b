/** One key in the stand-in's key-value service. */
export interface StoredEntry {
    readonly value: string;
    readonly revision: number;
    readonly lease: string | undefined;
}

interface StoredLease {
    readonly ttlMs: number;
    readonly expiresAtMs: number;
}

/** A change that watchers see. */
export interface StoreEvent {
    readonly type: "PUT" | "DELETE";
    readonly key: string;
    readonly value: string;
    readonly revision: number;
}

/** The state behind the stand-in's key-value service. */
export interface KvStore {
    read(key: string): StoredEntry | undefined;
    /** Writes where the key's revision is as expected; undefined where it is not. */
    swap(key: string, expectedRevision: number, value: string, lease: string | undefined): number | undefined;
    grant(ttlMs: number): string;
    keepAlive(lease: string): number;
    revoke(lease: string): void;
    /** Ends a lease at once, as if its time had passed. */
    lapse(lease: string): void;
    expire(): void;
    readonly leases: readonly string[];
    subscribe(key: string, notify: (event: StoreEvent) => void): () => void;
    /** Events of a key after a revision that are still kept. */
    history(key: string, fromRevision: number): readonly StoreEvent[];
    readonly revision: number;
}

const HISTORY_LENGTH = 1000;
const MAX_VALUE_BYTES = 1024 * 1024;

/**
 * Creates an empty store.
 *
 * @param nowMs - Source of time, in milliseconds
 * @returns the store
 *
 * @example
 * const store = createKvStore(() => performance.now());
 */
export function createKvStore(nowMs: () => number): KvStore {
    const entries = new Map<string, StoredEntry>();
    const leases = new Map<string, StoredLease>();
    const watchers = new Map<string, Set<(event: StoreEvent) => void>>();
    const events: StoreEvent[] = [];
    let revision = 0;
    const publish = (event: StoreEvent): void => {
        events.push(event);
        events.splice(0, Math.max(0, events.length - HISTORY_LENGTH));
        watchers.get(event.key)?.forEach(notify => notify(event));
    };
    const drop = (lease: string): void => {
        leases.delete(lease);
        for (const [key, entry] of entries) {
            if (entry.lease === lease) {
                entries.delete(key);
                revision += 1;
                publish({ type: "DELETE", key, value: "", revision });
            }
        }
    };
    const expire = (): void => {
        for (const [lease, { expiresAtMs }] of leases) {
            if (expiresAtMs <= nowMs()) {
                drop(lease);
            }
        }
    };
    return {
        read(key) {
            expire();
            return entries.get(key);
        },
        swap(key, expectedRevision, value, lease) {
            expire();
            if (value.length > MAX_VALUE_BYTES) {
                throw new RangeError(`the value of ${key} is over a megabyte`);
            }
            if (lease !== undefined && !leases.has(lease)) {
                throw new RangeError(`lease ${lease} is not known`);
            }
            if ((entries.get(key)?.revision ?? 0) !== expectedRevision) {
                return undefined;
            }
            revision += 1;
            entries.set(key, { value, revision, lease });
            publish({ type: "PUT", key, value, revision });
            return revision;
        },
        grant(ttlMs) {
            revision += 1;
            const lease = String(revision);
            leases.set(lease, { ttlMs, expiresAtMs: nowMs() + ttlMs });
            return lease;
        },
        keepAlive(lease) {
            expire();
            const found = leases.get(lease);
            if (found === undefined) {
                return 0;
            }
            leases.set(lease, { ...found, expiresAtMs: nowMs() + found.ttlMs });
            return found.ttlMs;
        },
        revoke: drop,
        lapse: drop,
        expire,
        get leases() {
            return [...leases.keys()];
        },
        subscribe(key, notify) {
            const set = watchers.get(key) ?? new Set();
            watchers.set(key, set.add(notify));
            return () => set.delete(notify);
        },
        history: (key, fromRevision) => events.filter(event => event.key === key && event.revision >= fromRevision),
        get revision() {
            return revision;
        },
    };
}
