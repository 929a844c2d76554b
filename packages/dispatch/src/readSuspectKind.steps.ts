import { registerTable } from "@fulmarcleat/testing";
import { readSuspectKind } from "./readSuspectKind.js";

registerTable("readSuspectKind", readSuspectKind);
