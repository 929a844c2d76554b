import type { Branded } from "@fulmarcleat/ids";

/** A lease that the key-value service granted. */
export type LeaseId = Branded<"LeaseId">;

/** A key's value and the revision that wrote it. */
export interface KvEntry {
    readonly value: string;
    /** Increases with every write of the key. */
    readonly revision: number;
}

/** One compare-and-swap; `expectedRevision` 0 means that the key must not exist. */
export interface KvSwap {
    readonly key: string;
    readonly expectedRevision: number;
    readonly value: string;
    /** Lease that the key is attached to: the key is deleted when the lease ends. */
    readonly lease?: LeaseId;
}

/** Result of a compare-and-swap. */
export type KvSwapResult =
    | { readonly kind: "applied"; readonly revision: number }
    | { readonly kind: "conflict"; readonly current: KvEntry | undefined };

/** State of a watched key after a change. */
export type KvWatchEvent =
    | { readonly kind: "put"; readonly entry: KvEntry }
    | { readonly kind: "deleted"; readonly revision: number };

/**
 * Driver of the platform's key-value service. Calls throw ServeError `kv_unavailable`
 * with outcome `not_run` if nothing was sent and `unknown` if the reply is missing.
 */
export interface KvDriver {
    get(key: string): Promise<KvEntry | undefined>;
    compareAndSwap(swap: KvSwap): Promise<KvSwapResult>;
    grantLease(ttlMs: number): Promise<LeaseId>;
    /** Renews a lease; returns false if it has already ended. */
    keepAlive(lease: LeaseId): Promise<boolean>;
    revokeLease(lease: LeaseId): Promise<void>;
    /** Yields the changes of a key after a revision, until `signal` aborts or the connection fails with an error. */
    watch(key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<KvWatchEvent>;
    close(): Promise<void>;
}
