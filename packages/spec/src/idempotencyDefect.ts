/** Name of a defect in the handling of idempotency keys that the exploration must find. */
export type IdempotencyDefect =
    /** A claim is granted as soon as its write is sent. */
    | "start before the claim is known"
    /** A write whose reply was lost counts as applied. */
    | "treat an unknown write as applied"
    /** A write whose reply was lost counts as not applied. */
    | "treat an unknown write as not applied"
    /** Hosts read the claim page without its nonces, so that they do not recognize their own claims and writes. */
    | "forget the nonce"
    /** A run with an unknown outcome is reported as not run, which frees its key. */
    | "free the key on unknown"
    /** All request bodies have the same hash. */
    | "skip the body hash"
    /** The key-value service applies a write also where the revision is not the expected one. */
    | "ignore the revision"
    /** A reply to a repeated claim request is used as if no earlier reply had been lost. */
    | "say unavailable after a lost ask";

/** Every idempotency defect that can be switched on. */
export const IDEMPOTENCY_DEFECTS: readonly IdempotencyDefect[] = [
    "start before the claim is known",
    "treat an unknown write as applied",
    "treat an unknown write as not applied",
    "forget the nonce",
    "free the key on unknown",
    "skip the body hash",
    "ignore the revision",
    "say unavailable after a lost ask",
];
