import type { KvEntry } from "@fulmarcleat/drivers";

/** Final result of a write, after attempts to resolve a lost reply. */
export type KvOutcome =
    | { readonly kind: "applied"; readonly entry: KvEntry }
    | { readonly kind: "refused"; readonly current: KvEntry | undefined }
    /** The write was not sent, so it has not taken effect. */
    | { readonly kind: "unavailable" }
    /** The write may have taken effect or may still take effect. */
    | { readonly kind: "unknown" };
