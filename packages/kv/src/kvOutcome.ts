import type { KvEntry } from "@fulmarcleat/drivers";

/** How a write ended, once every doubt that could be resolved was. */
export type KvOutcome =
    | { readonly kind: "applied"; readonly entry: KvEntry }
    | { readonly kind: "refused"; readonly current: KvEntry | undefined }
    /** Nothing was sent. */
    | { readonly kind: "unavailable" }
    /** The write may have taken effect or may yet do so. */
    | { readonly kind: "unknown" };
