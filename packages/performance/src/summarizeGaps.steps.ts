import { registerTable } from "@fulmarcleat/testing";
import { summarizeGaps } from "./summarizeGaps.js";

registerTable("summarizeGaps", summarizeGaps);
