import type { DataTable } from "@fulmarcleat/testing";
import { deepStrictEqual, Given, Then } from "@fulmarcleat/testing";
import { traceRequest } from "./traceRequest.js";

let texts: readonly string[] = [];

Given("the logs", (table: DataTable) => {
    const lines = table.hashes().map(row => row["line"] ?? "");
    texts = [lines.slice(0, 3).join("\n"), lines.slice(3).join("\n")];
});

Then("the trace of {string} is", (id: string, table: DataTable) => {
    deepStrictEqual(traceRequest(texts, id).map(line => line.trim()), table.hashes().map(row => row["line"] ?? ""));
});
