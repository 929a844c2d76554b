/** The recorded claim of one idempotency key. */
export interface ClaimEntry {
    /** Hash of the request that claimed the key. */
    readonly requestHash: string;
    /** Nonce of the attempt that holds the key. */
    readonly nonce: string;
    /** Wall time of the claim, in milliseconds. */
    readonly atMs: number;
    /** Outcome of the request; `open` while none is recorded. */
    readonly state: "open" | "ran" | "unknown";
}

/** The committed claims of one partition, stored as one value in the key-value service. */
export interface ClaimPage {
    readonly entries: Readonly<Record<string, ClaimEntry>>;
    /** Nonces of the latest writes, oldest first; later writers retain them so that each can recognize its own. */
    readonly writes: readonly string[];
}

/** The page of a partition without claims. */
export const EMPTY_PAGE: ClaimPage = { entries: {}, writes: [] };
