import { readFileSync, writeFileSync } from "node:fs";
import { formatConstant, listConstants } from "./listConstants.js";

const PAGE = new URL("../docs/SETTINGS.md", import.meta.url).pathname;
const lines = readFileSync(PAGE, "utf8").split("\n");
const head = lines.slice(0, lines.findIndex(line => line.startsWith("| `")));
writeFileSync(PAGE, [...head, ...listConstants().map(formatConstant), ""].join("\n"));
