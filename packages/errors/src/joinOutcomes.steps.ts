import { registerTable } from "@fulmarcleat/testing";
import { joinOutcomes } from "./joinOutcomes.js";

registerTable("joinOutcomes", joinOutcomes);
