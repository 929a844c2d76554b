/** One key of the store. */
export interface StoreItem {
    readonly key: string;
    readonly value: Buffer;
    /** Revision of its last change. */
    readonly revision: number;
    /** Lease that the key ends with; 0 for none. */
    readonly lease: number;
}

/** One change in the store. */
export type StoreEvent =
    | { readonly kind: "put"; readonly item: StoreItem }
    | { readonly kind: "removed"; readonly key: string; readonly revision: number };

/** What a watch brought. */
export type WatchReply =
    | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number }
    /** The history after the asked revision is no longer kept. */
    | { readonly kind: "compacted" };

/** A change that is done as a whole or not at all. */
export interface StoreChange {
    /** Keys and the revision that each must have; 0 for a key that must not exist. */
    readonly expect: readonly { readonly key: string; readonly revision: number }[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly lease: number }[];
    readonly removes: readonly string[];
}

/** How a change ended. */
export type ChangeReply =
    | { readonly kind: "written"; readonly revision: number }
    /** An expectation did not hold; the keys as they are. */
    | { readonly kind: "conflict"; readonly items: readonly StoreItem[] }
    | { readonly kind: "lease_ended" };

/** The platform's store. Calls throw ServeError `kv_unavailable`; `unknown` where a write may take effect. */
export interface MetadataStore {
    /** Every item below a prefix, with the revision before the first page was read. */
    list(prefix: string): Promise<{ readonly items: readonly StoreItem[]; readonly revision: number }>;
    /** Waits for changes below a prefix. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchReply>;
    change(change: StoreChange): Promise<ChangeReply>;
    openLease(ttlMs: number): Promise<number>;
    /** Gives false where the lease has ended. */
    renewLease(lease: number): Promise<boolean>;
    endLease(lease: number): Promise<void>;
    close(): void;
}
