import { registerTable } from "@fulmarcleat/testing";
import { mergeLimit } from "./mergeLimit.js";
import type { HeardLimit } from "./mergeLimit.js";

registerTable(
    "mergeLimit",
    // JSON has no undefined; a missing limit is written as null.
    (known: HeardLimit | null, next: HeardLimit) => mergeLimit(known ?? undefined, next),
);
