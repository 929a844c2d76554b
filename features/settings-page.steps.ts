import { deepStrictEqual, ok, Then } from "@fulmarcleat/testing";
import { readFileSync } from "node:fs";
import { formatConstant, listConstants } from "./listConstants.js";

const ROOT = new URL("../", import.meta.url).pathname;

Then("{string} lists every numeric constant of the platform path", (file: string) => {
    const rows = readFileSync(ROOT + file, "utf8").split("\n").filter(line => line.startsWith("| `"));
    deepStrictEqual(listConstants().filter(({ meaning }) => meaning === ""), []);
    const expectedRows = listConstants().map(formatConstant);
    ok(expectedRows.length > 50, `only ${expectedRows.length} constants were found`);
    deepStrictEqual(rows, expectedRows);
});
