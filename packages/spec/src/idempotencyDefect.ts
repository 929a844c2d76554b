/** Name of a defect in the handling of idempotency keys that the exploration must find. */
export type IdempotencyDefect =
    | "start before the claim is known"
    | "treat an unknown write as applied"
    | "treat an unknown write as not applied"
    | "forget the nonce"
    | "free the key on unknown"
    | "skip the body hash"
    | "ignore the revision"
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
