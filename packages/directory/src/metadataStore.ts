/** Longest wait for a reply of the store, in milliseconds; a watch adds the time that it asks the store to wait. */
export const STORE_REPLY_TIMEOUT_MS = 900;

/** Key of the store with its value and metadata. */
export interface StoreItem {
    readonly key: string;
    readonly value: Buffer;
    /** Joined revision of the key's last change. */
    readonly revision: number;
    /** Lease that the key is attached to; 0 for none. */
    readonly lease: number;
}

/** Change of one key in the store. */
export type StoreEvent =
    | { readonly kind: "put"; readonly item: StoreItem }
    | { readonly kind: "removed"; readonly key: string; readonly revision: number };

/** Result of a watch call. */
export type WatchReply =
    | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number }
    /** The history after the requested revision is gone: compacted, or of an epoch that a return from a copy has ended. */
    | { readonly kind: "compacted" };

/** Atomic change of several keys, applied as a whole or not at all. */
export interface StoreChange {
    /** Keys and the revision that each must have; 0 if the key must not exist. */
    readonly expect: readonly { readonly key: string; readonly revision: number }[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly lease: number }[];
    readonly removes: readonly string[];
}

/** Result of a change. */
export type ChangeReply =
    | { readonly kind: "written"; readonly revision: number }
    /** A key did not have the expected revision; `items` holds the current keys. */
    | { readonly kind: "conflict"; readonly items: readonly StoreItem[] }
    | { readonly kind: "lease_ended" };

/**
 * Client of the platform's key-value store. Revisions are joined with the store's epoch; a condition on one of a former
 * epoch is never met, and a lease of a former epoch has ended. Calls throw ServeError `kv_unavailable`, with outcome `unknown` if a
 * write may have taken effect.
 */
export interface MetadataStore {
    /** Lists every item below a prefix, with the revision before the first page was read. */
    list(prefix: string): Promise<{ readonly items: readonly StoreItem[]; readonly revision: number }>;
    /** Waits for changes below a prefix, up to `waitMs` milliseconds. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchReply>;
    change(change: StoreChange): Promise<ChangeReply>;
    openLease(ttlMs: number): Promise<number>;
    /** Returns false if the lease has ended. */
    renewLease(lease: number): Promise<boolean>;
    endLease(lease: number): Promise<void>;
    close(): void;
}
