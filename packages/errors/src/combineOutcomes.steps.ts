import { registerTable } from "@fulmarcleat/testing";
import { combineOutcomes } from "./combineOutcomes.js";

registerTable("combineOutcomes", combineOutcomes);
