import { registerTable } from "@fulmarcleat/testing";
import { joinOutcomes } from "./combineOutcomes.js";

registerTable("combineOutcomes", joinOutcomes);
