import { registerTable } from "@fulmarcleat/testing";
import { parseIfMatch } from "./parseIfMatch.js";

registerTable("parseIfMatch", parseIfMatch);
