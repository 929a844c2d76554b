import { registerTable } from "@fulmarcleat/testing";
import { estimateLoadWait } from "./estimateLoadWait.js";

registerTable("estimateLoadWait", estimateLoadWait);
