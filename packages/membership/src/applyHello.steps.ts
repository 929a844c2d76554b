import { registerTable } from "@fulmarcleat/testing";
import { applyHello } from "./applyHello.js";

registerTable("applyHello", applyHello);
