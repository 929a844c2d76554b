/** What is recorded of one key. */
export interface ClaimEntry {
    /** Hash of the request that the key stands for. */
    readonly requestHash: string;
    /** Attempt that holds the key. */
    readonly nonce: string;
    /** Wall time of the claim, in milliseconds. */
    readonly atMs: number;
    /** `open`: claimed, and no end is recorded. */
    readonly state: "open" | "ran" | "unknown";
}

/** The committed claims of one partition; one value in the key-value service. */
export interface ClaimPage {
    readonly entries: Readonly<Record<string, ClaimEntry>>;
    /** Nonces of the last writes, newest last; later writers keep them. */
    readonly writes: readonly string[];
}

/** A partition in which nothing was claimed. */
export const EMPTY_PAGE: ClaimPage = { entries: {}, writes: [] };
