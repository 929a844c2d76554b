import { registerTable } from "@fulmarcleat/testing";
import { readMediaType } from "./readMediaType.js";

registerTable("readMediaType", readMediaType);
