import type { Branded } from "@fulmarcleat/ids";

/** A lease that the key-value service granted. */
export type LeaseId = Branded<"LeaseId">;

/** A key's value and the revision that wrote it. */
export interface KvEntry {
    readonly value: string;
    /** Rises with every write of the key. */
    readonly revision: number;
}

/** One compare-and-swap; `expectedRevision` 0 means that the key must be absent. */
export interface KvSwap {
    readonly key: string;
    readonly expectedRevision: number;
    readonly value: string;
    readonly lease?: LeaseId;
}

/** What the service answered to a compare-and-swap. */
export type KvSwapResult =
    | { readonly kind: "applied"; readonly revision: number }
    | { readonly kind: "conflict"; readonly current: KvEntry | undefined };

/** State of one watched key, sent at the start and at each change. */
export type KvWatchEvent =
    | { readonly kind: "put"; readonly entry: KvEntry }
    | { readonly kind: "deleted"; readonly revision: number };

/**
 * The platform's key-value service. Calls throw ServeError `kv_unavailable`;
 * its outcome is `not_run` where nothing was sent and `unknown` where a reply is missing.
 */
export interface KvDriver {
    get(key: string): Promise<KvEntry | undefined>;
    swap(swap: KvSwap): Promise<KvSwapResult>;
    grantLease(ttlMs: number): Promise<LeaseId>;
    /** Whether the lease still stood. */
    keepAlive(lease: LeaseId): Promise<boolean>;
    revokeLease(lease: LeaseId): Promise<void>;
    /** Events of one key after a revision; ends by throwing or by `signal`. */
    watch(key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<KvWatchEvent>;
    close(): Promise<void>;
}
