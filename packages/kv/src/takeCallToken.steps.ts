import { registerTable } from "@fulmarcleat/testing";
import { takeCallToken } from "./takeCallToken.js";

registerTable("takeCallToken", takeCallToken);
