import { registerTable } from "@fulmarcleat/testing";
import { readHeader } from "./readHeader.js";

registerTable("readHeader", readHeader);
