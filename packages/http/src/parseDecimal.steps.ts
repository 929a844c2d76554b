import { registerTable } from "@fulmarcleat/testing";
import { parseDecimal } from "./parseDecimal.js";

registerTable("parseDecimal", parseDecimal);
