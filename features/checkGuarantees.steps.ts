import { registerTable } from "@fulmarcleat/testing";
import { checkGuarantees } from "./checkGuarantees.js";

registerTable("checkGuarantees", checkGuarantees);
