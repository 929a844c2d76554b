import { registerTable } from "@fulmarcleat/testing";
import { hashRequest } from "./hashRequest.js";

registerTable(
    "hashRequest compares",
    (first: unknown, second: unknown) =>
        hashRequest("/v1/completions", first) === hashRequest("/v1/completions", second) ? "same" : "other",
);
