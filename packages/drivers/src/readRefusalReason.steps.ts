import { registerTable } from "@fulmarcleat/testing";
import { readRefusalReason } from "./readRefusalReason.js";

registerTable("readRefusalReason", readRefusalReason);
