import { registerTable } from "@fulmarcleat/testing";
import { readToken } from "./readToken.js";

registerTable("readToken", readToken);
