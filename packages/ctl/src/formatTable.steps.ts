import { registerTable } from "@fulmarcleat/testing";
import { formatTable } from "./formatTable.js";

registerTable("formatTable", formatTable);
