/** The value of a key, with the revision of its last write and its lease. */
export interface StoredEntry {
    readonly value: string;
    readonly revision: number;
    readonly lease: string | undefined;
}

interface StoredLease {
    readonly ttlMs: number;
    readonly expiresAtMs: number;
}

/** A change of a key, as watchers receive it. */
export interface KvEvent {
    readonly type: "PUT" | "DELETE";
    readonly key: string;
    readonly value: string;
    readonly revision: number;
}

/** State of the key-value stand-in: entries, leases, watchers and recent events. */
export interface KvStore {
    read(key: string): StoredEntry | undefined;
    /** Writes a value and returns its revision; undefined if the key is not at the expected revision (0: no entry). */
    compareAndSwap(key: string, expectedRevision: number, value: string, lease: string | undefined): number | undefined;
    /** Creates a lease and returns its id. */
    grant(ttlMs: number): string;
    /** Renews a lease and returns its time to live in milliseconds; 0 if it does not exist. */
    keepAlive(lease: string): number;
    /** Ends a lease and deletes its keys. */
    revoke(lease: string): void;
    /** Ends a lease immediately, as if its time to live had passed. */
    expireLease(lease: string): void;
    /** Ends every lease whose time to live has passed. */
    expireLeases(): void;
    readonly leases: readonly string[];
    /** Calls `notify` for each change of a key; returns a function that ends the subscription. */
    subscribe(key: string, notify: (event: KvEvent) => void): () => void;
    /** Lists the retained events of a key, starting with the given revision. */
    listEvents(key: string, fromRevision: number): readonly KvEvent[];
    readonly revision: number;
}

/** Largest number of retained events over all keys. */
const MAX_RETAINED_EVENTS = 1000;
/** Largest value, in bytes; clients send base64, in which each character is one byte. */
const MAX_VALUE_BYTES = 1024 * 1024;

/**
 * Creates an empty store.
 *
 * @param nowMs - Clock that returns the current time in milliseconds
 * @returns the store
 *
 * @example
 * const store = createKvStore(() => performance.now());
 */
export function createKvStore(nowMs: () => number): KvStore {
    const entries = new Map<string, StoredEntry>();
    const leases = new Map<string, StoredLease>();
    const watchers = new Map<string, Set<(event: KvEvent) => void>>();
    const events: KvEvent[] = [];
    let revision = 0;
    const publish = (event: KvEvent): void => {
        events.push(event);
        events.splice(0, Math.max(0, events.length - MAX_RETAINED_EVENTS));
        watchers.get(event.key)?.forEach(notify => notify(event));
    };
    const endLease = (lease: string): void => {
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
                endLease(lease);
            }
        }
    };
    return {
        read(key) {
            expire();
            return entries.get(key);
        },
        compareAndSwap(key, expectedRevision, value, lease) {
            expire();
            if (value.length > MAX_VALUE_BYTES) {
                throw new RangeError(`the value of key ${key} is larger than 1 MiB`);
            }
            if (lease !== undefined && !leases.has(lease)) {
                throw new RangeError(`lease ${lease} does not exist`);
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
        revoke: endLease,
        expireLease: endLease,
        expireLeases: expire,
        get leases() {
            return [...leases.keys()];
        },
        subscribe(key, notify) {
            const set = watchers.get(key) ?? new Set();
            watchers.set(key, set.add(notify));
            return () => set.delete(notify);
        },
        listEvents: (key, fromRevision) => events.filter(event => event.key === key && event.revision >= fromRevision),
        get revision() {
            return revision;
        },
    };
}
