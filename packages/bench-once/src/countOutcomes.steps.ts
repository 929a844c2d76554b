import { registerTable } from "@fulmarcleat/testing";
import { countOutcomes } from "./countOutcomes.js";

registerTable("countOutcomes", countOutcomes);
