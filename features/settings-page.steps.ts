import { deepStrictEqual, ok, Then } from "@fulmarcleat/testing";
import { readFileSync } from "node:fs";
import { formatConstant, listConstants } from "./listConstants.js";

const ROOT = new URL("../", import.meta.url).pathname;

Then("{string} lists every named number of the platform path", (file: string) => {
    const rows = readFileSync(ROOT + file, "utf8").split("\n").filter(line => line.startsWith("| `"));
    deepStrictEqual(listConstants().filter(({ meaning }) => meaning === ""), []);
    const wanted = listConstants().map(formatConstant);
    ok(wanted.length > 50, `${wanted.length} numbers`);
    deepStrictEqual(rows, wanted);
});
